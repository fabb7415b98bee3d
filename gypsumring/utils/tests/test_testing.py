"""Tests that exactly the listed known failures are expected to fail."""

import unittest

from gypsumring.utils import testing
from gypsumring.utils.testing import make_case, make_load_tests, read_known_failures

KNOWN_FAILURES_TEXT = """Known failures.

1. benchmarks, topic "idle", seed 7: python -m benchmarks
   Seen: test a.b is named in passing.
2. test gypsumring.cell.tests.test_a.test_b
   Seen: nothing.
12. test gypsumring.cell.tests.test_a.test_c, seed 3
"""


def run_case(known_failures: set[str], function) -> unittest.TestResult:
    """Run a function as a test, with the given tests listed as known failures."""
    original = testing.list_known_failures
    testing.list_known_failures = lambda: known_failures
    try:
        case = make_case("module.test_name", function)
    finally:
        testing.list_known_failures = original
    result = unittest.TestResult()
    case.run(result)
    return result


def fail() -> None:
    """Fail like a failing test."""
    raise AssertionError


def test_only_entries_that_name_a_test_are_read():
    assert read_known_failures(KNOWN_FAILURES_TEXT) == {
        "gypsumring.cell.tests.test_a.test_b",
        "gypsumring.cell.tests.test_a.test_c",
    }


def test_known_failure_must_fail():
    assert run_case({"module.test_name"}, fail).wasSuccessful()
    assert not run_case({"module.test_name"}, lambda: None).wasSuccessful()


def test_unlisted_test_must_pass():
    assert not run_case({"module.test_other"}, fail).wasSuccessful()
    assert run_case({"module.test_other"}, lambda: None).wasSuccessful()


load_tests = make_load_tests(globals())
