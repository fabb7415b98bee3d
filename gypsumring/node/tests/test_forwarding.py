"""Tests of the answers to callers when answers of owners are lost."""

from collections import Counter

import anyio
import logbook
import msgspec

from gypsumring.cell.messages import JobAnswer, Outcome, QueryJob, SubmitJob
from gypsumring.metrics import Metrics
from gypsumring.node.forwarding import CHECK_PERIOD_S, Forwarder
from gypsumring.node.link import PING_PERIOD_S
from gypsumring.pipelines import StepSpec
from gypsumring.transport import ChannelClosed
from gypsumring.utils.testing import after, make_load_tests
from stand_ins.platform.cluster import QUEUE, make_job

COMMAND = QueryJob("a" * 16)
OK = JobAnswer(Outcome.OK)
REFUSED = JobAnswer(Outcome.REFUSED, retry_after_s=1.0)
NOT_OWNER = JobAnswer(Outcome.NOT_OWNER)
INTERRUPTED = JobAnswer(Outcome.INTERRUPTED)
LOST = ChannelClosed("no reply in time")


class ScriptedLink:
    """Link whose owner gives the scripted answers, one per call.

    An integer in the script is the fence number of a new owner.
    """

    __slots__ = ("closed", "fence", "owner_changed", "script")

    def __init__(self, *script):
        self.script = list(script)
        self.fence = 1
        self.closed = False
        self.owner_changed = anyio.Event()

    @property
    def channel(self):
        """Return the channel to the owner, which is this object."""
        return self

    def own_fence(self):
        """Return None, as this node does not own the cell."""
        return None

    async def call(self, command, deadline):
        """Return or raise the next answer of the script."""
        while self.script and isinstance(self.script[0], int):
            self.fence = self.script.pop(0)
        answer = self.script.pop(0) if self.script else NOT_OWNER
        if isinstance(answer, Exception):
            raise answer
        return answer


async def forward(*script) -> JobAnswer:
    """Return the answer to a caller with a time limit of 0.5 s."""
    forwarder = Forwarder(ScriptedLink(*script), None, Metrics())
    return await forwarder.forward(COMMAND, after(0.5))


async def test_command_is_sent_again_until_an_owner_answers():
    assert await forward(NOT_OWNER, LOST, INTERRUPTED, NOT_OWNER, OK) is OK


async def test_refusal_is_passed_on_with_its_retry_after():
    assert await forward(NOT_OWNER, REFUSED) is REFUSED


async def test_refusal_after_a_lost_answer_leaves_the_outcome_uncertain():
    # A delayed copy of the command may reach the same owner after the refusal.
    assert (await forward(LOST, REFUSED)).outcome is Outcome.UNCERTAIN
    assert (await forward(INTERRUPTED, REFUSED)).outcome is Outcome.UNCERTAIN


async def test_refusal_of_a_later_owner_is_passed_on():
    assert await forward(LOST, 2, REFUSED) is REFUSED


async def test_command_is_refused_if_no_owner_is_reached():
    # Clients did not retry such a job when its outcome was reported as uncertain.
    answer = await forward()
    assert answer.outcome is Outcome.REFUSED
    assert answer.retry_after_s > 0


async def test_lost_answer_leaves_the_outcome_uncertain():
    assert (await forward(LOST)).outcome is Outcome.UNCERTAIN
    assert (await forward(INTERRUPTED)).outcome is Outcome.UNCERTAIN


async def test_stopping_node_answers_all_callers_in_time():
    forwarder = Forwarder(ScriptedLink(), None, Metrics())
    forwarder.answer_deadline = after(0.1)
    began = anyio.current_time()
    await forwarder.forward(COMMAND, after(5.0))
    assert anyio.current_time() - began < 0.2


class UnreachableLink(ScriptedLink):
    """Link without a channel to an owner, which counts how often that is checked."""

    __slots__ = ("checks",)

    def __init__(self):
        super().__init__()
        self.checks = 0

    @property
    def channel(self):
        """Return None, as there is no owner."""
        return None

    def own_fence(self):
        """Count a check and return None."""
        self.checks += 1
        return None


# Each command that waited for a takeover looked for the owner every 0.03 s: with the
# thousands of queries at the end of a day, the machine was busy with that and answered
# its callers late.
async def test_one_of_the_waiting_commands_looks_for_the_owner():
    link = UnreachableLink()
    forwarder = Forwarder(link, None, Metrics())
    deadline = after(3.0)
    answers = []

    async def forward_one() -> None:
        answers.append(await forwarder.forward(COMMAND, deadline))

    async with anyio.create_task_group() as group:
        for _ in range(1_000):
            group.start_soon(forward_one)
    assert anyio.current_time() <= deadline + 0.1
    assert {answer.outcome for answer in answers} == {Outcome.REFUSED}
    # Twice what one command needs alone.
    assert link.checks <= 2 * 3.0 / CHECK_PERIOD_S, link.checks


# A node that cannot tell whether it still owns the cell, as the store is slow, received
# each query 33 times a second.
async def test_command_that_no_owner_answers_is_sent_less_and_less_often():
    class CountingLink(ScriptedLink):
        calls = 0

        async def call(self, command, deadline):
            self.calls += 1
            return NOT_OWNER

    link = CountingLink()
    forwarder = Forwarder(link, None, Metrics())
    answer = await forwarder.forward(COMMAND, after(3.0))
    assert answer.outcome is Outcome.REFUSED
    assert 5 <= link.calls <= 12, link.calls


async def test_pause_of_a_command_ends_when_the_owner_changes():
    link = ScriptedLink(*[NOT_OWNER] * 6, OK)
    forwarder = Forwarder(link, None, Metrics())

    async def change_owner() -> None:
        await anyio.sleep(1.0)
        link.script = [OK]
        link.owner_changed.set()

    async with anyio.create_task_group() as group:
        group.start_soon(change_owner)
        began_at = anyio.current_time()
        assert await forwarder.forward(COMMAND, after(3.0)) is OK
        assert anyio.current_time() - began_at <= 1.05


# Submissions that wait for the store took the window of a node, which let a few of them
# pass with each answer to a ping, and refused the rest.
async def test_slow_store_does_not_hold_up_submissions():
    rate, store_s, seconds = 65, 0.5, 6.0
    outcomes = Counter()

    class SlowStoreLink(ScriptedLink):
        async def call(self, command, deadline):
            await anyio.sleep(store_s)
            return OK

    forwarder = Forwarder(SlowStoreLink(), None, Metrics())

    async def answer_pings() -> None:
        while True:
            await anyio.sleep(PING_PERIOD_S)
            forwarder.record_answer(anyio.current_time() - 0.002, 0.002)

    async def submit(number: int) -> None:
        job = msgspec.structs.replace(make_job(f"{number:016x}"), payload="x" * 2_400)
        answer = await forwarder.forward(SubmitJob(job, 3.0), after(3.0))
        outcomes[answer.outcome] += 1

    async with anyio.create_task_group() as pings:
        pings.start_soon(answer_pings)
        async with anyio.create_task_group() as group:
            for number in range(int(rate * seconds)):
                group.start_soon(submit, number)
                await anyio.sleep(1 / rate)
        pings.cancel_scope.cancel()
    assert outcomes == {Outcome.OK: int(rate * seconds)}, outcomes


async def test_later_owner_receives_the_time_that_is_left():
    # It received the original time limit, waited for the store beyond the deadline of
    # the caller, and the caller got no answer in time.
    limits = []

    class RecordingLink(ScriptedLink):
        async def call(self, command, deadline):
            limits.append(command.time_limit_s)
            await anyio.sleep(0.2)
            return await super().call(command, deadline)

    submission = SubmitJob(make_job("a" * 16, StepSpec(task_count=1)), 1.0)
    forwarder = Forwarder(RecordingLink(LOST, 2, OK), None, Metrics())
    assert await forwarder.forward(submission, after(1.0)) is OK
    assert limits[0] == 1.0
    assert 0.7 < limits[1] < 0.8


async def test_refused_and_uncertain_submissions_are_logged_with_their_queue():
    # Submissions that reached no owner were only counted, without job and queue.
    submission = SubmitJob(make_job("a" * 16, StepSpec(task_count=1)), 0.5)
    with logbook.TestHandler().applicationbound() as handler:
        for script in ((), (LOST, REFUSED), (LOST,)):
            forwarder = Forwarder(ScriptedLink(*script), None, Metrics())
            await forwarder.forward(submission, after(0.5))
    assert [record.msg for record in handler.records] == [
        "job refused",
        "job uncertain",
        "job uncertain",
    ]
    for record in handler.records:
        assert (record.extra["job"], record.extra["queue"]) == ("a" * 16, QUEUE)


load_tests = make_load_tests(globals())
