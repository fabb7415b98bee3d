"""Tests that break one decision on purpose and expect a check to report it."""

from unittest import mock

import msgspec

import soak.run
from gypsumring.documents import DocumentStore
from gypsumring.gateway import GatewayNode
from gypsumring.gateway import app as gateway_app
from gypsumring.jobs.attempts import AttemptBook
from gypsumring.messages.peer import KeyDecision, KeyVerdict, TaskReportState
from gypsumring.metrics import RefusalReason
from gypsumring.placement import PlacementEngine
from gypsumring.placement.exceptions import NoFit
from gypsumring.placement.rooms import WorkerRoom
from gypsumring.requests import Answered, KeyClient, Refused, Unknown
from gypsumring.requests.granting import ExecutorSlots
from gypsumring.utils.testing import make_load_tests
from soak.run import run_soak


def run_broken(*patches, kinds=(), prepare=None, steps=60):
    """Run a soak of the given kinds of fault with broken code; return violations."""

    def prepare_all(soak):
        chosen = {k: v for k, v in soak.faults.kinds.items() if k in kinds}
        soak.faults.kinds = chosen
        if not chosen:
            soak.faults.step = lambda group, share: None
        if prepare is not None:
            prepare(soak)

    with mock.patch.multiple(soak.run, JOBS_END_S=20.0, KEYS_END_S=5.0):
        for patch in patches:
            patch.start()
        try:
            return "\n".join(run_soak(3, steps, prepare_all).violations)
        finally:
            mock.patch.stopall()


def slow_executors(soak):
    """Let all executors answer after the deadlines."""
    for executor in soak.cell.platform.executors.values():
        executor.faults.slow_ms = 5_000


def test_overcommitted_worker_is_reported():
    """Guard against a check of invariant 1 that cannot fail."""

    def place_on_first(self, demand, now, policy=None):
        for name in sorted(self.workers):
            if self.workers[name].indexed is not None:
                self.hold(demand, self.workers[name], demand.resources)
                return name
        raise NoFit(RefusalReason.NO_CAPACITY)

    patches = [
        mock.patch.object(PlacementEngine, "place", place_on_first),
        mock.patch.object(WorkerRoom, "holds", lambda self, size: True),
    ]
    assert "overcommit of " in run_broken(*patches, steps=200)


def test_task_that_runs_twice_is_reported():
    """Guard against a check of invariant 2 that cannot fail."""
    original = AttemptBook.apply_report

    def lose_running(self, shard, report, *args):
        if report.state is TaskReportState.RUNNING:
            report = msgspec.structs.replace(report, state=TaskReportState.LOST)
        return original(self, shard, report, *args)

    patch = mock.patch.object(AttemptBook, "apply_report", lose_running)
    assert " ran on " in run_broken(patch, steps=150)


def test_answer_of_another_request_is_reported():
    """Guard against a check of invariant 3 that cannot fail."""
    original = gateway_app.make_service_response
    bodies = [b"none"]

    def answer_with_last(answer, request_id):
        if isinstance(answer, Answered):
            bodies.append(answer.body)
            answer = msgspec.structs.replace(answer, body=bodies[-2])
        return original(answer, request_id)

    patch = mock.patch.object(gateway_app, "make_service_response", answer_with_last)
    assert "got another's" in run_broken(patch)


def test_refused_request_that_ran_is_reported():
    """Guard against a check of invariant 4 that cannot fail."""
    original = gateway_app.make_service_response

    def refuse_unknown(answer, request_id):
        if isinstance(answer, Unknown):
            answer = Refused(RefusalReason.QUEUE_FULL, "", 1)
        return original(answer, request_id)

    patch = mock.patch.object(gateway_app, "make_service_response", refuse_unknown)
    assert "was refused but ran" in run_broken(patch, prepare=slow_executors)


def test_key_that_runs_twice_is_reported():
    """Guard against a check of invariant 5 that cannot fail."""

    async def grant_always(self, *args):
        return KeyVerdict(KeyDecision.RUN)

    patch = mock.patch.object(KeyClient, "claim", grant_always)
    assert " ran 2 times" in run_broken(patch, steps=100)


def test_new_work_at_a_leaving_executor_is_reported():
    """Guard against a check of invariant 6 that cannot fail."""
    from gypsumring.requests import holding

    never = property(lambda self: False)
    view = next(
        kind
        for kind in vars(holding).values()
        if isinstance(kind, type) and "leaving" in vars(kind)
    )
    patches = [
        mock.patch.object(ExecutorSlots, "leaving", never),
        mock.patch.object(view, "leaving", never),
    ]
    found = run_broken(*patches, kinds=("executor_leaves",), steps=200)
    assert "ran at leaving x-" in found


def test_drain_that_interrupts_requests_is_reported():
    """Guard against a check of invariant 7 that cannot fail."""

    async def stop_at_once(self):
        self.task_group.cancel_scope.cancel()

    patch = mock.patch.object(GatewayNode, "stop", stop_at_once)
    found = run_broken(patch, kinds=("drain",), prepare=slow_executors, steps=200)
    assert "interrupted" in found


def test_version_that_is_not_put_in_force_is_reported():
    """Guard against a check of invariant 8 that cannot fail."""
    original = DocumentStore.put

    def put_first(self, stored):
        if stored.version < 2:
            original(self, stored)

    patch = mock.patch.object(DocumentStore, "put", put_first)
    assert "is not in force on" in run_broken(patch, steps=200)


load_tests = make_load_tests(globals())
