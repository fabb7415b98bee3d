"""Decoding of executor entries in the platform's store."""

import re

import msgspec

from gypsumring.fleet import ExecutorEntry, InvalidEntry
from gypsumring.utils.decoding import DECODE_ERRORS

__all__ = ["decode_executor_entry"]


class CapacityBody(msgspec.Struct, rename="camel"):
    """Capacity of an executor; ``cpu`` is in thousandths of a core."""

    cpu: int = 0
    mem_mb: int = 0
    gpu: int = 0


class EntryBody(msgspec.Struct, rename="camel"):
    """Store entry of an executor; ``zone`` is its data centre."""

    service: str
    address: str
    state: str
    capacity: CapacityBody
    zone: str = ""
    labels: list[str] = []
    born: int = 0
    remaining_ms: int = 0


ADDRESS = re.compile(r"^[^:/\s]+:(\d{1,5})$", re.ASCII)
MAX_PORT = 65_535

decode_body = msgspec.json.Decoder(EntryBody).decode


def decode_executor_entry(executor_id: str, value: bytes) -> ExecutorEntry:
    """Decode an entry; raise InvalidEntry if it names no executor to use."""
    try:
        body = decode_body(value)
    except msgspec.ValidationError as error:
        raise InvalidEntry("field", str(error)) from error
    except DECODE_ERRORS as error:
        reason = "nesting" if isinstance(error, RecursionError) else "format"
        raise InvalidEntry(reason, str(error)) from error
    address = ADDRESS.match(body.address)
    if address is None or not 0 < int(address[1]) <= MAX_PORT:
        raise InvalidEntry("address", "not a host and a port from 1 to 65535")
    if body.state not in ("ready", "draining"):
        raise InvalidEntry("state", "neither ready nor draining")
    return ExecutorEntry(
        executor_id=executor_id,
        address=body.address,
        service=body.service,
        data_centre=body.zone,
        draining=body.state == "draining",
        remaining_ms=body.remaining_ms,
        born_ms=body.born,
        cpu_millis=body.capacity.cpu,
        memory_mb=body.capacity.mem_mb,
        accelerators=body.capacity.gpu,
        labels=tuple(body.labels),
    )
