"""Decode documents from JSON and compare them."""

import msgspec

from gypsumring.documents.exceptions import DocumentError
from gypsumring.documents.model import Document
from gypsumring.utils.decoding import DECODE_ERRORS

__all__ = ["MAX_DOCUMENT_BYTES", "diff_documents", "parse_document"]

MAX_DOCUMENT_BYTES = 256 * 1024

decoder = msgspec.json.Decoder(Document)


def parse_document(content: bytes) -> Document:
    """Decode and check a document; raise DocumentError naming the field's path."""
    if len(content) > MAX_DOCUMENT_BYTES:
        raise DocumentError(
            f"$: document of {len(content)} bytes is larger than {MAX_DOCUMENT_BYTES}"
        )
    try:
        return decoder.decode(content)
    except msgspec.ValidationError as error:
        text = str(error)
        raise DocumentError(text if "$" in text else f"{text} - at `$`") from error
    except DECODE_ERRORS as error:
        raise DocumentError(f"$: invalid JSON: {error}") from error


def diff_documents(
    old: Document | None, new: Document | None
) -> list[tuple[str, object, object]]:
    """Return (path, old value, new value) of each field that differs, by path."""
    before = flatten("$", msgspec.to_builtins(old))
    after = flatten("$", msgspec.to_builtins(new))
    return [
        (path, before.get(path), after.get(path))
        for path in sorted(before.keys() | after.keys())
        if before.get(path) != after.get(path)
    ]


def flatten(path: str, value: object) -> dict[str, object]:
    """Return the leaves of a JSON value by their path."""
    if not isinstance(value, dict):
        return {path: value}
    leaves: dict[str, object] = {}
    for key in value:
        leaves |= flatten(f"{path}.{key}", value[key])
    return leaves
