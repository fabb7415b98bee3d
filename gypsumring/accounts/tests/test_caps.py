"""Numbers of tasks that a cap lets start.

Guards against an account above its cap, and against one that rests below half of it.
"""

from gypsumring.accounts.caps import count_startable, count_under_half
from gypsumring.utils.testing import make_load_tests


def test_scarcest_limited_resource_counts():
    cap, held = (8000, 1000, 0), (2000, 500, 9)
    assert count_startable(cap, held, (1000, 0, 1), 10) == 6
    assert count_startable(cap, held, (1000, 200, 1), 10) == 2
    assert count_startable(cap, held, (0, 0, 5), 10) == 10


def test_account_above_its_cap_in_any_resource_starts_nothing():
    assert count_startable((8000, 1000, 0), (8000, 1001, 0), (0, 0, 0), 5) == 0
    assert count_startable((8000, 1000, 0), (8000, 1000, 0), (0, 0, 0), 5) == 5


def test_tasks_start_until_one_passes_the_half():
    cap = (8000, 0, 0)
    assert count_under_half(cap, (0, 0, 0), (3000, 0, 0), 9) == 2
    assert count_under_half(cap, (3900, 0, 0), (3000, 0, 0), 9) == 1
    assert count_under_half(cap, (4000, 0, 0), (1, 0, 0), 9) == 0
    # A task that does not fit under the cap does not start.
    assert count_under_half(cap, (3900, 0, 0), (5000, 0, 0), 9) == 0


load_tests = make_load_tests(globals())
