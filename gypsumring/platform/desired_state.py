"""Decoding of the operator's desired state."""

import msgspec

from gypsumring.pipelines import DesiredState, PolicyTiming, Queue, ServicePool
from gypsumring.platform.exceptions import WireError
from gypsumring.utils.decoding import DECODE_ERRORS
from gypsumring.utils.ranges import (
    MAX_KEY_NAME_BYTES,
    Measure,
    Number,
    Priority,
    Quantity,
)

__all__ = ["decode_desired_state"]


class AdviceBody(msgspec.Struct, rename="camel"):
    """Policy service timing in milliseconds; ``period_ms`` applies to each executor."""

    decide_ms: Measure
    period_ms: Measure
    valid_ms: Measure


class RouteBody(msgspec.Struct, rename="camel"):
    """Route to a queue; ``slo_ms`` is added to ``stretch`` times the work of a job."""

    name: str
    host: str
    path_prefix: str
    service: str
    slo_ms: Measure = 1000.0
    priority: Priority = 0
    max_attempts: Quantity = 1
    stretch: Measure = 1.0
    advice: AdviceBody | None = None


class ServiceBody(msgspec.Struct, rename="camel"):
    """Service and the options of its executor pool."""

    name: str
    admission_check: bool = False
    standby: bool = False


class LimitsBody(msgspec.Struct, rename="camel", frozen=True):
    """Limits on callers' requests."""

    max_body_bytes: Quantity = 262_144


class DesiredStateBody(msgspec.Struct):
    """One complete version of the desired state."""

    version: Number
    routes: list[RouteBody] = []
    services: list[ServiceBody] = []
    limits: LimitsBody = LimitsBody()


decode_body = msgspec.json.Decoder(DesiredStateBody).decode


def decode_desired_state(value: bytes) -> DesiredState:
    """Decode a desired state; raise WireError if it is malformed."""
    try:
        body = decode_body(value)
    except DECODE_ERRORS as error:
        raise WireError(f"malformed desired state: {error}") from error
    for number, route in enumerate(body.routes):
        if len(route.name.encode()) > MAX_KEY_NAME_BYTES:
            raise WireError(
                f"malformed desired state: routes[{number}].name: "
                f"larger than {MAX_KEY_NAME_BYTES} bytes"
            )
    return DesiredState(
        version=body.version,
        queues=tuple(map(translate_queue, body.routes)),
        services=tuple(
            ServicePool(
                name=service.name,
                admission_check=service.admission_check,
                standby=service.standby,
            )
            for service in body.services
        ),
        max_body_bytes=body.limits.max_body_bytes,
    )


def translate_queue(route: RouteBody) -> Queue:
    """Return the queue that a route describes."""
    policy = None
    if route.advice is not None:
        policy = PolicyTiming(
            route.advice.decide_ms / 1000,
            route.advice.period_ms / 1000,
            route.advice.valid_ms / 1000,
        )
    return Queue(
        name=route.name,
        host=route.host,
        path_prefix=route.path_prefix,
        service=route.service,
        priority=route.priority,
        max_attempts=route.max_attempts,
        stretch=route.stretch,
        latency_target_s=route.slo_ms / 1000,
        policy=policy,
    )
