"""Ranges of numbers and texts that other processes send or store.

JSON has numbers of any size; the records, requests and clocks that they go on into have
64 bits or floats. Within these ranges, sums over all executors and fence numbers made
from generations stay below 64 bits.
"""

import re
from typing import Annotated

import msgspec

__all__ = [
    "MAX_NUMBER",
    "MAX_QUANTITY",
    "MAX_KEY_NAME_BYTES",
    "Fence",
    "MachineSize",
    "Measure",
    "Number",
    "Priority",
    "Quantity",
    "RepeatCount",
    "SignedMeasure",
    "Text",
    "Texts",
    "clamp",
    "parse_machine_size",
]

MAX_QUANTITY = 2**40
# The largest integer up to which all integers are floats as well.
MAX_NUMBER = 2**53
MAX_MACHINE_SIZE = 10_000_000
MACHINE_SIZE = re.compile(r"[0-9]{1,8}")

# Capacities, counts and durations in milliseconds.
Quantity = Annotated[int, msgspec.Meta(ge=0, le=MAX_QUANTITY)]
# Offsets, versions, generations, attempt numbers and times in milliseconds.
Number = Annotated[int, msgspec.Meta(ge=0, le=MAX_NUMBER)]
# A thousand times a generation, plus a count.
Fence = Annotated[int, msgspec.Meta(ge=0, le=2**63 - 1)]
# Measured or estimated values; NaN is out of range.
Measure = Annotated[float, msgspec.Meta(ge=0, le=MAX_QUANTITY)]
# Rough figures, and time that is left, which may have run out.
SignedMeasure = Annotated[float, msgspec.Meta(ge=-MAX_QUANTITY, le=MAX_QUANTITY)]
Priority = Annotated[int, msgspec.Meta(ge=-(2**31), le=2**31)]
RepeatCount = Annotated[int, msgspec.Meta(ge=0, le=1_000_000)]
# Thousandths of a core of reference speed.
MachineSize = Annotated[int, msgspec.Meta(ge=0, le=MAX_MACHINE_SIZE)]
# Names of services, zones, racks and images: a record of a job or an executor with the
# longest ones stays below the 256 KB that the store takes.
Text = Annotated[str, msgspec.Meta(max_length=255)]
Texts = Annotated[list[Text], msgspec.Meta(max_length=64)]
# A key of the store has at most 255 bytes, which include a prefix.
MAX_KEY_NAME_BYTES = 240


def clamp(number: int, largest: int) -> int:
    """Return the nearest number from 0 to ``largest``."""
    return min(max(number, 0), largest)


def parse_machine_size(text: str) -> int:
    """Return the size that a name contains, or 0 if it contains none in range."""
    # int() refuses numbers of thousands of digits.
    if MACHINE_SIZE.fullmatch(text) is None or int(text) > MAX_MACHINE_SIZE:
        return 0
    return int(text)
