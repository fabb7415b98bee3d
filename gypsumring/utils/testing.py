"""Run test functions with unittest; async functions run on a mock clock."""

import functools
import inspect
import random
import re
import sys
import unittest
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import anyio
import trio
import trio._core._run as trio_run
import trio.testing

__all__ = [
    "after",
    "make_load_tests",
    "raised",
    "read_known_failures",
    "run_on_mock_clock",
]

KNOWN_FAILURES_PATH = Path(__file__).parents[2] / "KNOWN-RED.txt"
# An entry for a unit test begins with its number and ``test MODULE.NAME``.
KNOWN_FAILURE_PATTERN = re.compile(r"^\d+\. test ([\w.]+)", re.MULTILINE)


def after(seconds: float) -> float:
    """Return the deadline that lies ``seconds`` in the future."""
    return anyio.current_time() + seconds


async def raised(error_type: type[Exception], call: Awaitable[Any]) -> Exception:
    """Return the error that a call raises; subclasses of ``error_type`` fail."""
    try:
        await call
    except error_type as error:
        assert type(error) is error_type, repr(error)
        return error
    raise AssertionError(f"{error_type.__name__} was not raised")


def run_on_mock_clock(
    function: Callable[..., Any], *args: Any, seed: int = 0, limit_s: float = 36_000
) -> Any:
    """Run an async function on trio with a clock that skips idle time.

    The seed determines the order in which trio runs ready tasks, which makes runs
    reproducible. Raise TimeoutError after ``limit_s`` seconds of mock time.
    """

    async def run_with_limit() -> Any:
        with anyio.fail_after(limit_s):
            return await function(*args)

    trio_run._ALLOW_DETERMINISTIC_SCHEDULING = True
    trio_run._r = random.Random(seed)
    clock = trio.testing.MockClock(autojump_threshold=0)
    return anyio.run(run_with_limit, backend="trio", backend_options={"clock": clock})


def read_known_failures(text: str) -> set[str]:
    """Parse a list of known failures; return the full names of its tests."""
    return set(KNOWN_FAILURE_PATTERN.findall(text))


@functools.cache
def list_known_failures() -> set[str]:
    """Return the names of the tests that are known to fail in this checkout."""
    if not KNOWN_FAILURES_PATH.exists():
        return set()
    return read_known_failures(KNOWN_FAILURES_PATH.read_text())


def make_case(name: str, test: Callable[[], Any]) -> unittest.FunctionTestCase:
    """Return the test case of a function; a known failure is expected to fail."""
    case = unittest.FunctionTestCase(test, description=name)
    if name in list_known_failures():
        print(f"known to fail: {name}", file=sys.stderr)
        case = unittest.expectedFailure(case)
    return case


def make_load_tests(namespace: dict[str, Any]) -> Callable[..., unittest.TestSuite]:
    """Return a ``load_tests`` that collects the ``test_*`` functions of a module.

    Async functions run on the mock clock with seed 0. Tests that are listed in
    ``KNOWN-RED.txt`` are printed and expected to fail.
    """

    def load_tests(
        loader: unittest.TestLoader, tests: unittest.TestSuite, pattern: str | None
    ) -> unittest.TestSuite:
        suite = unittest.TestSuite()
        for name, function in sorted(namespace.items()):
            if not name.startswith("test_") or not callable(function):
                continue
            if inspect.iscoroutinefunction(function):
                test = functools.partial(run_on_mock_clock, function)
                functools.update_wrapper(test, function)
                del test.__wrapped__
            else:
                test = function
            suite.addTest(make_case(f"{namespace['__name__']}.{name}", test))
        return suite

    return load_tests
