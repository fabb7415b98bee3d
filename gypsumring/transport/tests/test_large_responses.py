"""Large responses are read as long as their bytes arrive."""

import anyio

from gypsumring.transport import (
    HttpCall,
    HttpClient,
    HttpResponse,
    NoResponse,
    RelayedClient,
)
from gypsumring.utils.testing import after, make_load_tests, raised

PIECE_BYTES = 15_000
PERIOD_S = 0.05
TIME_LIMIT_S = 1.4
READ = HttpCall("GET", "/read", waits=True)


class SlowStream:
    """Connection that delivers one response piece by piece and may fall silent."""

    __slots__ = ("pieces", "silent_after")

    def __init__(self, body_bytes: int, silent_after: int | None = None):
        head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % body_bytes
        self.pieces = [head]
        for start in range(0, body_bytes, PIECE_BYTES):
            self.pieces.append(b"x" * min(PIECE_BYTES, body_bytes - start))
        # Number of pieces after which nothing arrives any more.
        self.silent_after = silent_after

    async def send(self, message: bytes) -> None:
        """Accept a request."""

    async def receive(self, max_bytes: int) -> bytes:
        """Return the next piece."""
        if self.silent_after == 0:
            await anyio.sleep_forever()
        if self.silent_after is not None:
            self.silent_after -= 1
        await anyio.sleep(PERIOD_S)
        return self.pieces.pop(0)

    async def aclose(self) -> None:
        """Close nothing."""


class SlowClient(HttpClient):
    """HTTP client whose connections deliver slowly."""

    __slots__ = ("stream",)

    def __init__(self, stream: SlowStream):
        super().__init__("127.0.0.1:1")
        self.stream = stream

    async def connect(self, deadline: float) -> SlowStream:
        """Return the connection."""
        return self.stream


def make_client(stream: SlowStream) -> tuple[RelayedClient, list[HttpCall]]:
    """Return a client and the list of the calls that it has relayed."""
    client = RelayedClient(SlowClient(stream), "server")
    relayed = []

    async def relay(call: HttpCall, deadline: float) -> HttpResponse:
        relayed.append(call)
        return HttpResponse(200, b"relayed", {}, False)

    client.relay = relay
    return client, relayed


# A read of a large desired state was given up while its bytes arrived, and counted as a
# failure of the path: the next one went through the owner, as one message.
async def test_response_that_arrives_slowly_is_read_to_its_end():
    client, relayed = make_client(SlowStream(1_000_000))
    began_at = anyio.current_time()
    response = await client.request(READ, after(TIME_LIMIT_S))
    assert len(response.body) == 1_000_000
    assert anyio.current_time() > began_at + 2 * TIME_LIMIT_S
    assert relayed == []
    assert client.is_healthy()


# A path over which a large response arrives works, whatever else is overdue on it.
async def test_path_works_while_a_large_response_arrives():
    client, _ = make_client(SlowStream(1_000_000))
    async with anyio.create_task_group() as group:
        group.start_soon(client.request, READ, after(TIME_LIMIT_S))
        await anyio.sleep(2 * TIME_LIMIT_S)
        assert client.is_healthy()
        group.cancel_scope.cancel()


# Reading on while bytes arrive must not mean waiting for a connection that is silent.
async def test_response_that_falls_silent_is_given_up():
    client, _ = make_client(SlowStream(1_000_000, silent_after=40))
    client.relay = None
    began_at = anyio.current_time()
    await raised(NoResponse, client.request(READ, after(TIME_LIMIT_S)))
    assert anyio.current_time() <= began_at + 40 * PERIOD_S + TIME_LIMIT_S


# Only reads may take longer than their time: an order is given up at its deadline.
async def test_other_responses_are_given_up_at_their_deadline():
    client, _ = make_client(SlowStream(1_000_000))
    client.relay = None
    began_at = anyio.current_time()
    call = HttpCall("POST", "/join")
    await raised(NoResponse, client.request(call, after(TIME_LIMIT_S)))
    assert anyio.current_time() == began_at + TIME_LIMIT_S


load_tests = make_load_tests(globals())
