"""State of the executor stand-in."""

import random

import msgspec

from gypsumring.ports import ExecutorAnswer, ExecutorRequest, ExecutorStatus

__all__ = [
    "KEY_HEADER",
    "LABEL_HEADER",
    "ExecutorFaults",
    "ExecutorRun",
    "ExecutorState",
]

KEY_HEADER = "gypsumring-key"
# Label of an attempt, by which a caller can check later whether the attempt ran.
LABEL_HEADER = "stand-in-label"


class ExecutorFaults(msgspec.Struct):
    """Faults of an executor; shares are between 0 and 1.

    ``late_ms`` is the delay of late answers, after the request has run. ``dead``
    refuses all calls, ``cut_off_from`` refuses the calls of the named clients.
    """

    slow_ms: int = 0
    late: float = 0.0
    late_ms: int = 2_000
    crossed: float = 0.0
    cut_off: float = 0.0
    failing: float = 0.0
    leaving: bool = False
    dead: bool = False
    cut_off_from: set[str] = msgspec.field(default_factory=set)


class ExecutorRun(msgspec.Struct, frozen=True):
    """Run of a request; times are in seconds on the common clock."""

    request_id: str
    key: str
    executor: str
    started_at: float
    ends_at: float
    label: str = ""


class ExecutorState:
    """Runs of one executor, which accepts every request without checks.

    ``runs_by_request`` and ``runs_by_key`` reveal double runs and may be shared between
    executors. ``slot_overcommits`` and ``connection_overcommits`` record
    (time, number in use). ``late_starts`` records runs that began while the executor
    was leaving.
    """

    def __init__(
        self,
        name: str,
        random_source: random.Random,
        pool: str = "",
        slots: int = 8,
        connections: int = 64,
        run_ms: float = 10.0,
        runs_by_request: dict[str, list[ExecutorRun]] | None = None,
        runs_by_key: dict[str, list[ExecutorRun]] | None = None,
    ):
        self.name = name
        self.random_source = random_source
        self.pool = pool
        self.slots = slots
        self.connections = connections
        self.run_ms = run_ms
        self.faults = ExecutorFaults()
        self.runs_by_request = {} if runs_by_request is None else runs_by_request
        self.runs_by_key = {} if runs_by_key is None else runs_by_key
        self.running: list[ExecutorRun] = []
        self.slot_overcommits: list[tuple[float, int]] = []
        self.connection_overcommits: list[tuple[float, int]] = []
        self.late_starts: list[ExecutorRun] = []
        self.run_count = 0
        self.last_request_id = ""
        self.open_connections = 0

    def begin(self, request: ExecutorRequest, now: float) -> ExecutorRun:
        """Start to run a request; the run ends on time even if no caller waits."""
        self.remove_ended_runs(now)
        jitter = self.random_source.uniform(0.5, 1.5)
        headers = {name.lower(): value for name, value in request.headers}
        run_s = (self.run_ms * jitter + self.faults.slow_ms) / 1000
        run = ExecutorRun(
            request.request_id,
            headers.get(KEY_HEADER, ""),
            self.name,
            now,
            now + run_s,
            headers.get(LABEL_HEADER, ""),
        )
        self.run_count += 1
        self.running.append(run)
        self.runs_by_request.setdefault(run.request_id, []).append(run)
        if run.key:
            self.runs_by_key.setdefault(run.key, []).append(run)
        if len(self.running) > self.slots:
            self.slot_overcommits.append((now, len(self.running)))
        if self.faults.leaving:
            self.late_starts.append(run)
        return run

    def connect(self, now: float) -> None:
        """Count a connection that is opened for a request."""
        self.open_connections += 1
        if self.open_connections > self.connections:
            self.connection_overcommits.append((now, self.open_connections))

    def disconnect(self) -> None:
        """Count a connection that is closed."""
        self.open_connections -= 1

    @staticmethod
    def repeated(runs: dict[str, list[ExecutorRun]]) -> list[str]:
        """Return the names that ran more than once."""
        return sorted(name for name, same in runs.items() if len(same) > 1)

    def remove_ended_runs(self, now: float) -> None:
        """Remove runs that have ended."""
        self.running = [run for run in self.running if run.ends_at > now]

    def status(self, now: float) -> ExecutorStatus:
        """Return the requests that are running."""
        self.remove_ended_runs(now)
        return ExecutorStatus(
            in_flight=tuple(run.request_id for run in self.running),
            leaving=self.faults.leaving,
        )

    def draw_fault(self, share: float) -> bool:
        """Draw whether a fault occurs; a share of 0 consumes no random number."""
        return share > 0 and self.random_source.random() < share

    def answer(self, request: ExecutorRequest) -> ExecutorAnswer:
        """Return the answer to a request, with faults applied.

        The body repeats the request id, so that a caller can detect the answer to
        another request.
        """
        request_id = request.request_id
        if self.draw_fault(self.faults.crossed):
            request_id = self.last_request_id or "another-request"
        self.last_request_id = request.request_id
        status = 500 if self.draw_fault(self.faults.failing) else 200
        return ExecutorAnswer(
            request_id=request_id,
            status=status,
            headers=(("content-type", "application/octet-stream"),),
            body=request_id.encode() + b" " + request.body,
        )
