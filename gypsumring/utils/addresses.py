"""Addresses of the form ``host:port`` that other processes send or store."""

import re

__all__ = ["split_address"]

MAX_PORT = 65_535
# Labels of at most 63 characters: the resolver raises UnicodeError for others.
ADDRESS = re.compile(
    r"(?P<host>[a-zA-Z0-9_-]{1,63}(?:\.[a-zA-Z0-9_-]{1,63}){0,31}\.?|\[[0-9a-fA-F:.]+\])"
    r":(?P<port>[0-9]{1,5})"
)


def split_address(address: str) -> tuple[str, int]:
    """Return host and port; raise ValueError if they cannot be connected to."""
    match = ADDRESS.fullmatch(address)
    if match is None or not 0 < int(match["port"]) <= MAX_PORT:
        raise ValueError(f"not a host and a port up to {MAX_PORT}: {address!r:.99}")
    return match["host"].strip("[]"), int(match["port"])
