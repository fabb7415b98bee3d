"""Signals are held from before the imports of a program until its exit."""

import signal
import subprocess
import sys

import anyio

from gypsumring.utils.signals import SIGNALS, SignalQueue
from gypsumring.utils.stopping import follow_signals
from gypsumring.utils.testing import make_load_tests

BAD_SETTINGS = 2
# Sends a signal to its own process when a module is loaded, and again at the exit.
HARNESS = """
import atexit, os, runpy, sys

program, number = sys.argv[1], int(sys.argv[2])
sent = []

class Sender:
    def find_spec(self, name, path, target=None):
        if name == "click" and not sent:
            sent.append(number)
            os.kill(os.getpid(), number)

sys.meta_path.insert(0, Sender())
atexit.register(os.kill, os.getpid(), number)
sys.argv = [program, "--settings", os.devnull]
runpy.run_module(program, run_name="__main__", alter_sys=True)
"""


def test_signal_during_the_imports_does_not_end_a_program():
    # Guards against the default actions of signals that arrive before a handler is
    # installed: the process ended with -1 at a SIGHUP in its first moments.
    for program in ("gypsumring.node", "gypsumring.gateway", "gypsumring.scheduler"):
        for number in SIGNALS:
            ended = subprocess.run(
                [sys.executable, "-c", HARNESS, program, str(int(number))],
                capture_output=True,
                text=True,
            )
            assert ended.returncode == BAD_SETTINGS, (program, number, ended.stderr)


async def follow_five_signals() -> list[str]:
    """Return the calls for five signals, the last two of which come later."""
    signals = SignalQueue()
    calls = []
    for number in (signal.SIGHUP, signal.SIGTERM, signal.SIGTERM):
        signals.record(number, None)
    async with anyio.create_task_group() as group:
        group.start_soon(
            follow_signals,
            signals,
            lambda: calls.append("reload"),
            lambda: calls.append("stop"),
        )
        while len(calls) < 2:
            await anyio.sleep(0.001)
        signals.record(signal.SIGINT, None)
        signals.record(signal.SIGHUP, None)
        while len(calls) < 3:
            await anyio.sleep(0.001)
        group.cancel_scope.cancel()
    signals.close()
    return calls


def test_stop_is_requested_once_and_settings_reloaded_at_any_time():
    # Guards against a second stop signal that shortens the time of callers.
    for backend in ("asyncio", "trio"):
        calls = anyio.run(follow_five_signals, backend=backend)
        assert calls == ["reload", "stop", "reload"], (backend, calls)


load_tests = make_load_tests(globals())
