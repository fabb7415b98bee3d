"""Requests at a node that does not have the newest desired state."""

import random

import anyio
import msgspec

from gypsumring.accounts import ClientAccount
from gypsumring.cell.messages import (
    CancelJob,
    CountWaiting,
    JobAnswer,
    Outcome,
    QueryJob,
    SubmitJob,
)
from gypsumring.cell.tests.test_recovery import BATCH, running_cluster
from gypsumring.metrics import Metrics
from gypsumring.node.app import NodeApp
from gypsumring.node.desired import DesiredStateWatch
from gypsumring.pipelines import DesiredState
from gypsumring.platform import decode_desired_state
from gypsumring.utils.testing import make_load_tests
from stand_ins.platform.cluster import QUEUE, make_job
from stand_ins.platform.faults import Faults
from stand_ins.platform.memory import MemoryStore
from stand_ins.platform.store import StoreModel

JOB = "a" * 16
BODY = b'{"spec":"s","pipeline":[{"count":1,"cpu":500}]}'
VERSION = (
    b'{"version":3,"routes":[{"name":"q","host":"h","pathPrefix":"/q/",'
    b'"service":"svc"}]}'
)


class FakeNode:
    """Node with the third version that answers all commands alike."""

    __slots__ = ("behind", "commands", "desired", "metrics", "outcome")

    def __init__(self, behind: bool = False, outcome: Outcome = Outcome.OK):
        store = MemoryStore(StoreModel(), Faults(random.Random(0)), None)
        self.desired = DesiredStateWatch(
            store, "keyed.op", "config", decode_desired_state
        )
        self.desired.apply(VERSION, 1, 0.0)
        self.behind = behind
        self.outcome = outcome
        self.commands = []
        self.metrics = Metrics()

    def is_behind(self) -> bool:
        """Return whether another node has a newer version."""
        return self.behind

    async def forward(self, command, deadline) -> JobAnswer:
        """Record a command and answer it."""
        self.commands.append(command)
        return JobAnswer(self.outcome)


async def call(node: FakeNode, method: str, path: str) -> tuple[int, dict]:
    """Return status and headers of the response to a request."""
    scope = {
        "type": "http",
        "method": method,
        "path": path,
        "headers": [(b"host", b"h")],
    }
    messages = []

    async def receive():
        return {"type": "http.request", "body": BODY, "more_body": False}

    async def send(message):
        messages.append(message)

    await NodeApp(node)(scope, receive, send)
    return messages[0]["status"], dict(messages[0]["headers"])


# A route that a confirmed version had added was refused with 404 by nodes that were
# still reading that version, and so for good.
async def test_node_that_is_behind_does_not_say_that_a_queue_does_not_exist():
    for behind, status in ((False, 404), (True, 503)):
        node = FakeNode(behind)
        for method in ("GET", "POST", "DELETE"):
            answer, headers = await call(node, method, f"/new/{JOB}")
            assert answer == status
            assert headers.get(b"retry-after") == (b"1" if behind else None)
        assert node.commands == []


# Commands are checked against the version of the owner, which may be newer.
async def test_commands_name_the_version_by_which_they_were_handled():
    node = FakeNode()
    for method, path in (("POST", JOB), ("GET", JOB), ("DELETE", JOB), ("GET", "")):
        assert (await call(node, method, f"/q/{path}"))[0] == 200
    assert [command.version for command in node.commands] == [3] * 4
    assert [command.queue_name for command in node.commands] == ["q"] * 4


async def test_what_the_owner_does_not_know_any_more_is_refused():
    for outcome, status in ((Outcome.NO_QUEUE, 404), (Outcome.NO_ACCOUNT, 401)):
        node = FakeNode(outcome=outcome)
        for method, path in (("POST", JOB), ("GET", JOB), ("DELETE", JOB), ("GET", "")):
            assert (await call(node, method, f"/q/{path}"))[0] == status


def make_commands(version: int, account: str = "", job_id: str = JOB) -> list:
    """Return one command of each kind by a version of the desired state."""
    spec = make_job(job_id, BATCH)
    if account:
        spec = msgspec.structs.replace(spec, account=account)
    return [
        SubmitJob(spec, 1.0, None, version),
        QueryJob(job_id, account, QUEUE, version),
        CancelJob(job_id, 1.0, account, QUEUE, version),
        CountWaiting(QUEUE, version),
    ]


# A node that was behind passed on requests for a route that a newer version had
# removed, and the owner, which had that version, served them.
async def test_owner_with_a_newer_version_refuses_removed_queues_and_accounts():
    async with running_cluster() as cluster:
        commands = cluster.owner_node().owner().commands
        queues = cluster.desired.queues
        cluster.desired = DesiredState(version=5)
        for version, expected in (
            (4, Outcome.NO_QUEUE),
            # The node has the same version, a newer one, or is an earlier build.
            (5, Outcome.OK),
            (6, Outcome.OK),
            (0, Outcome.OK),
        ):
            for command in make_commands(version):
                assert commands.check_version(command) is expected, command
        accounts = (ClientAccount(name="a", key_digests=(b"1",)),)
        cluster.desired = DesiredState(version=5, queues=queues, accounts=accounts)
        for account, expected in (("a", Outcome.OK), ("b", Outcome.NO_ACCOUNT)):
            for command in make_commands(4, account)[:3]:
                assert commands.check_version(command) is expected, command
        assert commands.check_version(make_commands(4, "b")[3]) is Outcome.OK


# A caller who repeats the submission of an accepted job must not read that it was
# refused.
async def test_job_that_was_accepted_is_not_refused_when_its_queue_is_removed():
    async with running_cluster() as cluster:
        assert await cluster.submit(make_job(JOB, BATCH)) is Outcome.OK
        commands = cluster.owner_node().owner().commands
        cluster.desired = DesiredState(version=5)
        await anyio.sleep(0.1)
        assert commands.check_version(make_commands(4)[0]) is Outcome.OK
        other = make_commands(4, job_id="b" * 16)[0]
        assert commands.check_version(other) is Outcome.NO_QUEUE


load_tests = make_load_tests(globals())
