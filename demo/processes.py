"""Start and stop the child processes of the demo."""

import os
import signal
import subprocess
import sys
from pathlib import Path

import anyio
import anyio.to_thread

__all__ = ["ProcessGroup"]

REPOSITORY = Path(__file__).resolve().parent.parent
STOP_TIMEOUT_S = 10


class ProcessGroup:
    """Child processes by name, with their output in files of a folder."""

    __slots__ = ("folder", "processes")

    def __init__(self, folder: Path):
        self.folder = folder
        self.processes: dict[str, subprocess.Popen] = {}

    def start(self, name: str, module: str, *arguments: str) -> None:
        """Start ``python -m module`` with its output in a file of the folder."""
        # A restarted process appends to its earlier output.
        with open(self.folder / f"{name}.out", "ab") as output:
            self.processes[name] = subprocess.Popen(
                [sys.executable, "-m", module, *arguments],
                cwd=REPOSITORY,
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=subprocess.STDOUT,
                env={**os.environ, "PYTHONUNBUFFERED": "1"},
            )

    def kill(self, name: str) -> None:
        """Kill one process with SIGKILL, so that it cannot clean up."""
        self.send(name, signal.SIGKILL)
        self.processes[name].wait()

    def send(self, name: str, signal_number: signal.Signals) -> None:
        """Send a signal to one process."""
        self.processes[name].send_signal(signal_number)

    async def end(self, name: str, timeout_s: float) -> int | None:
        """Terminate one process; return its exit code, or None on a time-out."""
        process = self.processes[name]
        process.terminate()
        try:
            return await anyio.to_thread.run_sync(process.wait, timeout_s)
        except subprocess.TimeoutExpired:
            return None

    def find_dead(self, expected: set[str]) -> list[str]:
        """Return the processes that have ended and are not in ``expected``."""
        return [
            name
            for name, process in self.processes.items()
            if name not in expected and process.poll() is not None
        ]

    def read_output(self, name: str) -> str:
        """Return the output of a process."""
        return (self.folder / f"{name}.out").read_text(errors="replace")

    def stop_all(self) -> dict[str, int]:
        """Terminate all processes, kill them on a time-out, and return exit codes."""
        for process in self.processes.values():
            if process.poll() is None:
                process.terminate()
        for process in self.processes.values():
            try:
                process.wait(STOP_TIMEOUT_S)
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()
        return {name: process.returncode for name, process in self.processes.items()}
