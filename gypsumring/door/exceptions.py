"""Exceptions of the door."""

__all__ = ["BodyRefused", "Http2Refused"]


class BodyRefused(Exception):
    """A body was not read to its end since the node has no memory for it now."""


class Http2Refused(Exception):
    """A connection asked for HTTP/2, which callers do not use."""
