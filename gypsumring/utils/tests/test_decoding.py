"""Decoders of bytes from outside the process catch all errors of the library."""

import ast
import pathlib

import gypsumring
from gypsumring.messages import codec
from gypsumring.messages.records import RecordBatch
from gypsumring.utils.testing import make_load_tests

ROOT = pathlib.Path(gypsumring.__file__).parent
LIBRARY_ERRORS = {"msgspec.DecodeError", "UnicodeDecodeError", "RecursionError"}


def list_caught_errors(path: pathlib.Path) -> set[str]:
    """Return the errors that the handlers of a module name."""
    return {
        ast.unparse(error)
        for node in ast.walk(ast.parse(path.read_text()))
        if isinstance(node, ast.ExceptHandler) and node.type is not None
        for error in getattr(node.type, "elts", [node.type])
    }


def test_no_decoder_has_a_list_of_errors_of_its_own():
    # Each decoder listed the errors of the library itself, and all but one left out
    # RecursionError, which ended the process or its owner of the cell.
    found = {
        str(path.relative_to(ROOT)): errors
        for path in sorted(ROOT.rglob("*.py"))
        if "tests" not in path.parts
        and (errors := list_caught_errors(path) & LIBRARY_ERRORS)
    }
    assert not found, found


def test_nested_records_of_a_log_are_refused():
    # RecursionError left the reader of the streams, which read the record again.
    batch = bytearray(codec.encode(RecordBatch([])))
    # A further element, as a later version may append one.
    batch[0] += 1
    nested = bytes(batch) + b"\x91" * 100_000 + b"\xc0"
    for decode in (
        codec.decode_control_batch,
        codec.decode_ledger_batch,
        codec.decode_config_batch,
    ):
        try:
            decode(nested)
        except codec.DecodeError:
            continue
        raise AssertionError(f"accepted by {decode.__name__}")


load_tests = make_load_tests(globals())
