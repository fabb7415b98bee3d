"""Requests are checked for a key of a client account, each on its own.

Guards against keys that go on after their removal, and against jobs that are seen or
cancelled by other accounts.
"""

import json
import random

import anyio

from gypsumring.cell.messages import (
    CancelJob,
    CountWaiting,
    JobAnswer,
    Outcome,
    QueryJob,
    SubmitJob,
)
from gypsumring.metrics import Metrics
from gypsumring.node.app import NodeApp
from gypsumring.node.desired import DesiredStateWatch
from gypsumring.platform import decode_desired_state
from gypsumring.utils.testing import make_load_tests
from stand_ins.platform.faults import Faults
from stand_ins.platform.memory import MemoryStore
from stand_ins.platform.store import StoreModel

JOB = "a" * 16
BODY = b'{"spec":"s","pipeline":[{"count":1,"cpu":500}]}'
ROUTES = [
    {"name": "q", "host": "h", "pathPrefix": "/q/", "service": "svc", "public": False},
    {"name": "p", "host": "h", "pathPrefix": "/p/", "service": "svc", "public": True},
]
ACCOUNTS = [
    {"name": "a", "apiKeys": ["key-a1", "key-a2"], "weight": 3, "cap": {"cpu": 9000}},
    {"name": "b", "apiKeys": ["key-b"]},
]


def encode_version(version, accounts):
    """Return a desired state with these accounts, None for none at all."""
    state = {"version": version, "routes": ROUTES}
    if accounts is not None:
        state["tenants"] = accounts
    return json.dumps(state).encode()


class FakeNode:
    """Node that records the commands and answers each of them with OK."""

    __slots__ = ("commands", "desired", "metrics")

    def __init__(self, desired):
        self.commands = []
        self.desired = desired
        self.metrics = Metrics()

    def is_behind(self):
        """Return that no other node has a newer version."""
        return False

    async def forward(self, command, deadline):
        """Record a command."""
        self.commands.append(command)
        return JobAnswer(Outcome.OK)


def make_app(accounts):
    """Return an application whose first version has these accounts."""
    store = MemoryStore(StoreModel(), Faults(random.Random(0)), None)
    watch = DesiredStateWatch(store, "keyed.op", "config", decode_desired_state)
    watch.apply(encode_version(1, accounts), 1, 0.0)
    return NodeApp(FakeNode(watch))


async def call(app, method="GET", path=f"/q/{JOB}", keys=(), body=b""):
    """Return the status of a request that carries these keys."""
    headers = [(b"host", b"h"), *((b"x-api-key", key) for key in keys)]
    scope = {"type": "http", "method": method, "path": path, "headers": headers}
    messages = []

    async def receive():
        return {"type": "http.request", "body": body, "more_body": False}

    async def send(message):
        messages.append(message)

    await app(scope, receive, send)
    return messages[0]["status"]


async def test_key_of_the_account_is_needed_for_each_kind_of_request():
    app = make_app(ACCOUNTS)
    for keys in (
        (),
        (b"",),
        (b"key-c",),
        (b"key-a1x",),
        (b"\xff\xfe",),
        (b"k" * 9999,),
    ):
        for method, path in (("POST", JOB), ("GET", JOB), ("DELETE", JOB), ("GET", "")):
            assert await call(app, method, f"/q/{path}", keys, BODY) == 401, keys
    assert app.node.commands == []
    assert app.node.metrics.counters["node.refused.unknown_key"] == 24


async def test_commands_name_the_account_of_the_key():
    app = make_app(ACCOUNTS)
    for method, path in (("POST", JOB), ("GET", JOB), ("DELETE", JOB), ("GET", "")):
        assert await call(app, method, f"/q/{path}", [b"key-a2"], BODY) == 200
    submit, query, cancel, count = app.node.commands
    assert isinstance(submit, SubmitJob) and submit.spec.account == "a"
    assert submit.queue == app.node.desired.current.find_queue("q")
    assert isinstance(query, QueryJob) and query.account == "a"
    assert isinstance(cancel, CancelJob) and cancel.account == "a"
    assert isinstance(count, CountWaiting)


async def test_two_keys_in_one_request_are_a_malformed_request():
    app = make_app(ACCOUNTS)
    assert await call(app, keys=[b"key-a1", b"key-b"]) == 400
    assert await call(app, keys=[b"key-a1", b"key-a1"]) == 400


async def test_public_queue_needs_no_key_and_uses_a_known_one():
    app = make_app(ACCOUNTS)
    for keys in ((), (b"key-c",), (b"key-b",)):
        assert await call(app, "POST", f"/p/{JOB}", keys, BODY) == 200
    accounts = [command.spec.account for command in app.node.commands]
    assert accounts == ["", "", "b"]


async def test_removed_key_is_refused_and_an_added_one_is_admitted():
    app = make_app(ACCOUNTS)
    changed = [{"name": "a", "apiKeys": ["key-a1", "key-a3"]}]
    app.node.desired.apply(encode_version(5, changed), 1, 0.0)
    statuses = [
        await call(app, keys=[key]) for key in (b"key-a1", b"key-a2", b"key-a3")
    ]
    assert statuses == [200, 401, 200]
    assert await call(app, keys=[b"key-b"]) == 401


async def test_older_version_brings_no_key_back():
    app = make_app(ACCOUNTS)
    app.node.desired.apply(
        encode_version(9, [{"name": "a", "apiKeys": ["key-a1"]}]), 1, 0.0
    )
    app.node.desired.apply(encode_version(8, ACCOUNTS), 1, 0.0)
    assert await call(app, keys=[b"key-a2"]) == 401


async def test_deployment_without_accounts_checks_no_keys():
    app = make_app(None)
    assert await call(app) == 200
    assert await call(app, keys=[b"x", b"y"]) == 200
    assert [command.account for command in app.node.commands] == [None, None]


async def test_deployment_whose_accounts_were_all_removed_admits_nobody():
    app = make_app([])
    assert await call(app, keys=[b"key-a1"]) == 401


async def test_malformed_accounts_leave_the_last_version_in_force():
    app = make_app(ACCOUNTS)
    watch = app.node.desired
    shared = [*ACCOUNTS, {"name": "c", "apiKeys": ["key-b"]}]
    for version, accounts in enumerate(
        (
            shared,
            [{"apiKeys": ["k"]}],
            [{"name": ""}],
            [{"name": "a"}, {"name": "a"}],
            [{"name": "a", "weight": -1}],
            [{"name": "a", "cap": {"cpu": -1}}],
            [{"name": "a", "apiKeys": [7]}],
            [{"name": "a", "apiKeys": [""]}],
            [{"name": "n" * 300}],
        ),
        start=2,
    ):
        watch.apply(encode_version(version, accounts), 1, 0.0)
        assert watch.get().version == 1, accounts
    with anyio.fail_after(1):
        assert await call(app, keys=[b"key-b"]) == 200


load_tests = make_load_tests(globals())
