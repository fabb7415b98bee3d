"""Decoding of executor entries in the platform's store."""

import re

import msgspec

from gypsumring.fleet import ExecutorEntry, InvalidEntry
from gypsumring.utils.addresses import split_address
from gypsumring.utils.decoding import DECODE_ERRORS
from gypsumring.utils.ranges import MAX_KEY_NAME_BYTES, Number, Quantity, Text, Texts

__all__ = ["decode_executor_entry"]


class CapacityBody(msgspec.Struct, rename="camel"):
    """Capacity of an executor; ``cpu`` is in thousandths of a core."""

    cpu: Quantity = 0
    mem_mb: Quantity = 0
    gpu: Quantity = 0


class EntryBody(msgspec.Struct, rename="camel"):
    """Store entry of an executor; ``zone`` is its data centre."""

    service: Text
    address: Text
    state: str
    capacity: CapacityBody
    zone: Text = ""
    labels: Texts = []
    born: Number = 0
    remaining_ms: Quantity = 0


# The id is part of a key of the store and of each request to the executor.
EXECUTOR_ID = re.compile(rf"[!-~]{{1,{MAX_KEY_NAME_BYTES}}}")

decode_body = msgspec.json.Decoder(EntryBody).decode


def decode_executor_entry(executor_id: str, value: bytes) -> ExecutorEntry:
    """Decode an entry; raise InvalidEntry if it names no executor to use."""
    if EXECUTOR_ID.fullmatch(executor_id) is None:
        raise InvalidEntry("id", "too long, or not of visible ASCII characters only")
    try:
        body = decode_body(value)
    except msgspec.ValidationError as error:
        raise InvalidEntry("field", str(error)) from error
    except DECODE_ERRORS as error:
        reason = "nesting" if isinstance(error, RecursionError) else "format"
        raise InvalidEntry(reason, str(error)) from error
    try:
        split_address(body.address)
    except ValueError as error:
        raise InvalidEntry("address", str(error)) from error
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
