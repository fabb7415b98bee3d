"""Channels that others open must not fill the descriptors or the memory of a node."""

from collections import Counter

from gypsumring.transport import ChannelClosed, ChannelLimits
from gypsumring.transport.channel import READ_BYTES, Channel, ChannelTable
from gypsumring.utils.testing import make_load_tests


def make_table(channels: int, opening_bytes: int) -> tuple[ChannelTable, Counter]:
    """Return a table and the counters that it increments."""
    counters: Counter[str] = Counter()

    def count(name: str) -> None:
        counters[name] += 1

    return ChannelTable(ChannelLimits(channels, opening_bytes, count)), counters


def make_channel(peer: str = "", received: int = 0) -> Channel:
    """Return a channel without a connection."""
    channel = Channel(None, None, None)
    channel.peer = peer
    channel.buffer += bytes(received)
    return channel


def test_oldest_channel_without_a_known_peer_goes_first():
    table, counters = make_table(3, 0)
    known, first, second, third = (
        make_channel("n1"),
        make_channel(),
        make_channel(),
        make_channel(),
    )
    for channel in (known, first, second):
        assert table.admit(channel) is None
    assert table.admit(third) is first
    assert counters == {"node.door.closed.channels": 1}


def test_new_channel_is_refused_when_all_peers_are_known():
    table, _ = make_table(1, 0)
    assert table.admit(make_channel("n1")) is None
    new = make_channel()
    assert table.admit(new) is new


def test_bytes_before_the_first_message_are_bounded_over_all_channels():
    table, counters = make_table(10, 2 * READ_BYTES)
    channels = [make_channel(received=READ_BYTES) for _ in range(3)]
    known = make_channel("n1", 50 * READ_BYTES)
    for channel in (known, *channels[:2]):
        table.admit(channel)
    for channel in (known, *channels[:2]):
        table.check_opening(channel)
    table.admit(channels[2])
    try:
        table.check_opening(channels[2])
    except ChannelClosed:
        assert counters == {"node.door.closed.opening": 1}
    else:
        raise AssertionError("not closed")


load_tests = make_load_tests(globals())
