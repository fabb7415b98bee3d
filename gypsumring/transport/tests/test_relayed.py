"""Relayed requests to a server whose direct path fails."""

import anyio

from gypsumring.transport import (
    ConnectFailed,
    HttpCall,
    HttpResponse,
    LinkTraffic,
    NoResponse,
    RelayedClient,
)
from gypsumring.utils.testing import make_load_tests

CALL = HttpCall("POST", "/append", b"record", "application/octet-stream")
WAITING_CALL = HttpCall("GET", "/read", waits=True)
TIME_LIMIT_S = 0.3


class ScriptedClient:
    """HTTP client that answers with a status or fails, as ``outcome`` says."""

    __slots__ = ("calls", "gives_up", "outcome", "took_s")

    def __init__(self):
        self.calls = 0
        # ``silent`` (no response), ``unreachable`` or the status of the response.
        self.outcome: str | int = 200
        self.took_s = 0.0
        # Whether a request that takes longer than until its deadline fails then.
        self.gives_up = False

    async def request(self, method, path, deadline, body, content_type, on_received):
        """Answer one request."""
        self.calls += 1
        match self.outcome:
            case "silent":
                await anyio.sleep_until(deadline)
                raise NoResponse("no response in time")
            case "unreachable":
                raise ConnectFailed("refused")
        if self.gives_up and anyio.current_time() + self.took_s > deadline:
            await anyio.sleep_until(deadline)
            raise NoResponse("no response in time")
        await anyio.sleep(self.took_s)
        return HttpResponse(self.outcome, b"direct", {}, False)


def make_client(peer_status: int = 200, link_mbps: float | None = None):
    """Return a client, its scripted direct path and the list of relayed calls."""
    path = ScriptedClient()
    client = RelayedClient(path, "server", LinkTraffic(link_mbps=link_mbps))
    relayed = []

    async def relay(call, deadline):
        relayed.append(call)
        if not peer_status:
            raise ConnectFailed("no peer")
        return HttpResponse(peer_status, b"relayed", {}, False)

    client.relay = relay
    return client, path, relayed


async def send(client, waits=False):
    """Send one call within the time limit."""
    call = WAITING_CALL if waits else CALL
    return await client.request(call, anyio.current_time() + TIME_LIMIT_S)


async def test_working_path_is_used_alone():
    client, _, relayed = make_client()
    assert (await send(client)).body == b"direct"
    assert client.is_healthy()
    assert relayed == []


# A read of the desired state was relayed as one message of its size.
async def test_calls_that_may_not_be_relayed_use_the_direct_path_only():
    client, path, relayed = make_client()
    for outcome in (503, 200):
        path.outcome = outcome
        deadline = anyio.current_time() + TIME_LIMIT_S
        response = await client.request(WAITING_CALL, deadline, may_relay=False)
        assert response.status == outcome
        assert client.is_healthy() is (outcome == 200)
    assert relayed == []


async def test_refused_calls_are_relayed_at_once():
    client, path, relayed = make_client()
    for outcome in ("unreachable", 503, 429):
        path.outcome = outcome
        started_at = anyio.current_time()
        assert (await send(client)).body == b"relayed"
        assert anyio.current_time() == started_at
    assert relayed == [CALL] * 3
    assert not client.is_healthy()


async def test_unresponsive_path_delays_only_the_first_call():
    client, path, _ = make_client()
    path.outcome = "silent"
    try:
        await send(client)
        raise AssertionError(
            "the first call was answered, though it left no time for the relay"
        )
    except NoResponse:
        pass
    started_at = anyio.current_time()
    assert (await send(client)).body == b"relayed"
    assert anyio.current_time() == started_at


async def test_second_call_does_not_wait_for_the_first_on_an_unresponsive_path():
    # The journal sends a copy of a call long before it abandons the first one.
    client, path, _ = make_client()
    path.outcome = "silent"

    async def send_first_call() -> None:
        try:
            await send(client)
        except NoResponse:
            pass

    async with anyio.create_task_group() as group:
        group.start_soon(send_first_call)
        await anyio.sleep(0.06)
        started_at = anyio.current_time()
        assert (await send(client)).body == b"relayed"
        assert anyio.current_time() == started_at


async def test_unanswered_long_polls_do_not_mark_the_path_as_failing():
    client, path, _ = make_client()
    path.outcome = "silent"

    async def poll() -> None:
        try:
            await send(client, waits=True)
        except NoResponse:
            pass

    async with anyio.create_task_group() as group:
        group.start_soon(poll)
        await anyio.sleep(0.1)
        assert not client.is_failing()
        group.cancel_scope.cancel()


async def send_beside(client, call, after_s):
    """Send a call, and another one a while later; return the second response."""
    async with anyio.create_task_group() as group:
        group.start_soon(client.request, call, anyio.current_time() + 5)
        await anyio.sleep(after_s)
        response = await send(client)
        group.cancel_scope.cancel()
    return response


async def test_slow_transfer_does_not_make_the_path_count_as_failing():
    # An owner sent each copy of a large append to other nodes too, over the same link.
    body = HttpCall("POST", "/append", bytes(400_000), "application/octet-stream")
    client, path, relayed = make_client(link_mbps=10)
    path.took_s = 0.35
    assert (await send_beside(client, body, 0.3)).body == b"direct"
    page = HttpCall("GET", "/newest", reply_bytes=1_000_000)
    assert (await send_beside(client, page, 0.3)).body == b"direct"
    assert relayed == []


async def test_path_that_takes_longer_than_the_transfer_counts_as_failing():
    body = HttpCall("POST", "/append", bytes(40_000), "application/octet-stream")
    client, path, relayed = make_client(link_mbps=10)
    path.outcome = "silent"
    assert (await send_beside(client, body, 0.3)).body == b"relayed"
    assert relayed == [CALL]


async def test_failing_path_is_probed_and_used_again():
    client, path, _ = make_client()
    path.outcome = 503
    await send(client)
    path.outcome = 200
    assert (await send(client)).body == b"relayed"
    await anyio.sleep(0.6)
    assert (await send(client, waits=True)).body == b"relayed"
    assert (await send(client)).body == b"direct"
    assert client.is_healthy()


# A probe had 0.1 s, however long its transfer takes. While calls were large, or answers
# waited at a full link, all of them went through other nodes, and the probes twice.
async def test_probe_of_a_failing_path_has_the_time_of_the_transfer():
    append = HttpCall("POST", "/append", bytes(400_000), "application/octet-stream")
    page = HttpCall("GET", "/newest", reply_bytes=400_000)
    for call in (append, page):
        client, path, relayed = make_client(link_mbps=10)
        path.outcome = 503
        await send(client)
        assert (await send(client)).body == b"relayed"
        relayed.clear()
        path.outcome, path.took_s, path.gives_up = 200, 0.35, True
        await anyio.sleep(0.6)
        response = await client.request(call, anyio.current_time() + 5)
        assert (response.body, relayed) == (b"direct", []), call.path
        assert client.is_healthy()


async def test_probe_of_a_silent_path_leaves_the_call_to_another_node():
    append = HttpCall("POST", "/append", bytes(40_000), "application/octet-stream")
    client, path, relayed = make_client(link_mbps=10)
    path.outcome = 503
    await send(client)
    assert (await send(client)).body == b"relayed"
    path.outcome = "silent"
    await anyio.sleep(0.6)
    started_at = anyio.current_time()
    response = await client.request(append, started_at + 5)
    assert response.body == b"relayed"
    assert anyio.current_time() - started_at < 0.25


async def test_calls_from_before_an_answer_say_nothing_about_the_path():
    # Calls sent during an outage of the whole store reached their deadlines one by one
    # after it, and each marked the path as failing for another 0.5 s.
    client, path, relayed = make_client(peer_status=0)
    path.outcome = "silent"

    async def send_until_deadline() -> None:
        try:
            await send(client)
        except NoResponse:
            pass

    async with anyio.create_task_group() as group:
        group.start_soon(send_until_deadline)
        await anyio.sleep(0.2)
        path.outcome = 200
        assert (await send(client)).body == b"direct"
        assert client.is_healthy()
        await anyio.sleep(0.05)
        assert not client.is_failing()
        # Here the call sent during the outage reaches its deadline.
        await anyio.sleep(0.1)
        assert not client.is_failing()
        assert (await send(client)).body == b"direct"


async def test_failure_of_the_path_is_reported_without_a_peer():
    # If the client reported "no response" at once instead of the failure, a writer
    # would repeat the call without a pause.
    client, path, _ = make_client(peer_status=0)
    path.outcome = 503
    assert (await send(client)).status == 503
    path.outcome = "unreachable"
    try:
        await send(client)
        raise AssertionError("the failure was hidden")
    except ConnectFailed:
        pass


load_tests = make_load_tests(globals())
