"""Errors with which the decoders of the library refuse their input."""

import msgspec

__all__ = ["DECODE_ERRORS"]

# A value that nests too deeply raises RecursionError, also in an unknown field.
DECODE_ERRORS = (msgspec.DecodeError, UnicodeDecodeError, RecursionError)
