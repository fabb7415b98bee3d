"""Window of the commands that a node has on their way to the owner."""

from gypsumring.node.command_window import INITIAL_MESSAGES, CommandWindow
from gypsumring.utils.testing import make_load_tests

PING_TIMEOUT_S = 0.2


def answer(window: CommandWindow, seconds: float, times: int, is_full: bool) -> None:
    """Let the owner answer a number of messages."""
    for number in range(times):
        window.record_answer(float(number), seconds, is_full)


# The window fell to one message where the way to the owner took longer than half of the
# time limit of a ping, without any queue, so that 78 of 100 submissions were refused.
async def test_long_way_without_a_queue_does_not_shrink_the_window():
    window = CommandWindow(PING_TIMEOUT_S)
    answer(window, 0.15, 20, is_full=True)
    assert window.size > 2 * INITIAL_MESSAGES


# Each burst after a quiet time began with a small window, so that its last job waited
# five times as long as before.
async def test_window_that_is_not_needed_keeps_its_size():
    window = CommandWindow(PING_TIMEOUT_S)
    answer(window, 0.003, 20, is_full=True)
    size = window.size
    answer(window, 0.003, 100, is_full=False)
    assert window.size == size > 2 * INITIAL_MESSAGES


# Guards against a queue that is taken for a longer way once it has lasted for a while.
async def test_queue_that_lasts_keeps_the_window_small():
    window = CommandWindow(PING_TIMEOUT_S)
    answer(window, 0.003, 20, is_full=True)
    answer(window, 0.2, 1_000, is_full=True)
    assert window.size <= INITIAL_MESSAGES


load_tests = make_load_tests(globals())
