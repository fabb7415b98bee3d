"""Decoding of the operator's desired state."""

import msgspec

from gypsumring.accounts import MAX_KEY_BYTES, ClientAccount, Resources, digest_key
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
    public: bool = False


class CapBody(msgspec.Struct, rename="camel", frozen=True):
    """Limits of what a tenant has running; 0 means no limit."""

    cpu: Quantity = 0
    mem_mb: Quantity = 0
    gpu: Quantity = 0


class TenantBody(msgspec.Struct, rename="camel"):
    """Tenant with the keys that its callers send."""

    name: str
    api_keys: list[str] = []
    weight: Measure = 1.0
    cap: CapBody = CapBody()


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
    tenants: list[TenantBody] | None = None


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
    if body.tenants is not None:
        check_tenants(body.tenants)
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
        accounts=None
        if body.tenants is None
        else tuple(map(translate_tenant, body.tenants)),
    )


def check_tenants(tenants: list[TenantBody]) -> None:
    """Raise WireError that names the field if accounts cannot be told apart."""
    names: set[str] = set()
    keys: set[str] = set()
    for number, tenant in enumerate(tenants):
        path = f"malformed desired state: tenants[{number}]"
        if not 0 < len(tenant.name.encode()) <= MAX_KEY_NAME_BYTES:
            raise WireError(f"{path}.name: 1 to {MAX_KEY_NAME_BYTES} bytes allowed")
        if tenant.name in names:
            raise WireError(f"{path}.name: also the name of another tenant")
        names.add(tenant.name)
        for index, key in enumerate(tenant.api_keys):
            # The message must not contain the key.
            if not 0 < len(key.encode()) <= MAX_KEY_BYTES:
                raise WireError(
                    f"{path}.apiKeys[{index}]: 1 to {MAX_KEY_BYTES} bytes allowed"
                )
            if key in keys:
                raise WireError(f"{path}.apiKeys[{index}]: used twice")
            keys.add(key)


def translate_tenant(tenant: TenantBody) -> ClientAccount:
    """Return the client account that a tenant describes."""
    return ClientAccount(
        name=tenant.name,
        key_digests=tuple(digest_key(key.encode()) for key in tenant.api_keys),
        weight=tenant.weight,
        cap=Resources(tenant.cap.cpu, tenant.cap.mem_mb, tenant.cap.gpu),
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
        public=route.public,
    )
