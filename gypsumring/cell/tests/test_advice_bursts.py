"""Queries to the policy service by many steps in one scheduling pass.

The pattern: the steps of a cell that was taken over become ready together, and each
call to the policy service takes a good part of a second.
"""

from gypsumring.cell.tests.test_waiting import CellFixture
from gypsumring.pipelines import PolicyTiming
from gypsumring.utils.testing import make_load_tests

# A call holds 40 executors, so that a step which needs more of them makes two.
LONG_POLICY = PolicyTiming(0.8, 0.01, 2.0)
EXECUTORS = 60
NODES = [f"n{number}" for number in range(9)]
# Nodes of these that carry long calls.
LONG_CALL_NODES = 6
STEP_COUNT = 8


# Each step found the nodes idle that steps before it were about to use, and made second
# calls. The first call of another step waited behind them for over 2 s.
async def test_second_calls_use_only_nodes_that_no_earlier_step_uses():
    fixture = CellFixture(executors=EXECUTORS, policy=LONG_POLICY)
    fixture.scheduler.policy_client.list_policy_proxies = lambda: NODES
    steps = [fixture.add_step(task_count=100) for _ in range(STEP_COUNT)]
    fixture.scheduler.schedule()
    counts = sorted(step.policy_calls_in_flight for step in steps)
    doubles = LONG_CALL_NODES // 2
    assert counts == [1] * (STEP_COUNT - doubles) + [2] * doubles, counts


load_tests = make_load_tests(globals())
