"""Tests of store calls through peers, some of which refuse or do not respond."""

import anyio

from gypsumring.cell.messages import RelayAnswer, RelayCall
from gypsumring.metrics import Metrics
from gypsumring.node.relay import StoreRelay
from gypsumring.transport import (
    ChannelClosed,
    ConnectFailed,
    HttpCall,
    HttpResponse,
    NoResponse,
    RelayedClient,
)
from gypsumring.utils.testing import make_load_tests

CALL = HttpCall("POST", "/append")


class ScriptedChannel:
    """Channel to a peer that relays calls, refuses them or is unresponsive."""

    __slots__ = ("calls", "peer", "state")

    def __init__(self, name: str, state: str):
        self.peer = name
        self.state = state
        self.calls = 0

    async def call(self, message, deadline):
        """Answer according to the state of the peer."""
        self.calls += 1
        match self.state:
            case "silent":
                await anyio.sleep_until(deadline)
                raise ChannelClosed("no reply in time")
            case "refuses":
                return RelayAnswer(False)
            case "lost":
                return RelayAnswer(True)
        return RelayAnswer(True, 200, b"done")


class ScriptedPath:
    """Direct path that answers every request."""

    async def request(self, method, path, deadline, body, content_type, on_received):
        """Return a successful response."""
        return HttpResponse(200, b"direct", {}, False)


def make_relay(*states: str) -> tuple[StoreRelay, list[ScriptedChannel]]:
    """Return a relay and its channels, one peer for each given state."""
    channels = [
        ScriptedChannel(f"n{number}", state) for number, state in enumerate(states)
    ]
    client = RelayedClient(ScriptedPath(), "store")
    return StoreRelay(client, lambda: channels, Metrics()), channels


async def send(relay: StoreRelay, limit_s: float = 1.0) -> HttpResponse:
    """Send one call through a peer."""
    return await relay.send(CALL, anyio.current_time() + limit_s)


async def test_peers_that_refuse_are_skipped():
    relay, channels = make_relay("refuses", "refuses", "helps")
    assert (await send(relay)).body == b"done"
    # Later calls start with the peer that relayed the last call.
    assert (await send(relay)).body == b"done"
    assert [channel.calls for channel in channels] == [1, 1, 2]


async def test_copies_do_not_all_wait_for_one_unresponsive_peer():
    relay, _ = make_relay("silent", "helps", "helps")
    answers = []

    async def send_first() -> None:
        try:
            await send(relay)
        except NoResponse:
            answers.append("none")

    async with anyio.create_task_group() as group:
        group.start_soon(send_first)
        await anyio.sleep(0.05)
        began = anyio.current_time()
        assert (await send(relay)).body == b"done"
        assert anyio.current_time() == began
    assert answers == ["none"]


async def test_failures_tell_whether_the_call_may_have_run():
    relay, _ = make_relay("refuses", "refuses")
    try:
        await send(relay)
        raise AssertionError("ConnectFailed was not raised")
    except ConnectFailed:
        pass
    relay, _ = make_relay("lost")
    try:
        await send(relay)
        raise AssertionError("NoResponse was not raised")
    except NoResponse:
        pass


async def test_only_a_path_that_has_just_answered_serves_others():
    relay, _ = make_relay()
    assert await relay.serve(RelayCall(CALL, 1.0)) == RelayAnswer(False)
    await relay.path.send_direct(CALL, anyio.current_time() + 1.0)
    answer = await relay.serve(RelayCall(CALL, 1.0))
    assert answer == RelayAnswer(True, 200, b"direct")
    await anyio.sleep(1.0)
    assert await relay.serve(RelayCall(CALL, 1.0)) == RelayAnswer(False)


load_tests = make_load_tests(globals())
