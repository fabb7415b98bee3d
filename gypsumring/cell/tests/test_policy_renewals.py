"""Queries to the policy service by waiting gangs on a busy fleet.

The pattern: tickets are valid for little longer than a call to the policy service
takes, and a gang needs valid tickets for all of its executors at the same time.
"""

from types import SimpleNamespace

from gypsumring.cell.policy_client import PolicyClient
from gypsumring.dispatch.tests.fleets import make_fleet, make_step
from gypsumring.pipelines import PolicyTiming, Queue, Run
from gypsumring.ports.tasks import Ticket
from gypsumring.utils.testing import make_load_tests

# A call about a few executors takes one second, and tickets expire after 1.5 s.
TIMING = PolicyTiming(0.95, 0.01, 1.5)
NOW = 100.0


def choose_renewals(remaining_s: list[float], reserved: int, **fields) -> list[str]:
    """Return the executors that a step renews; the first ones are reserved for it."""
    fleet = make_fleet(len(remaining_s))
    step = make_step(task_count=8, cpu_millis=4_000, **fields)
    step.reserved = {executor.executor_id for executor in fleet[:reserved]}
    for executor, remaining in zip(fleet, remaining_s, strict=True):
        executor_id = executor.executor_id
        step.allowed.add(executor_id)
        step.tickets[executor_id] = Ticket(executor_id, "ticket", NOW + remaining)
    client = PolicyClient(SimpleNamespace(fence=1), None, list, None)
    renewals = client.choose_renewals(step, TIMING, fleet, True, NOW)
    return [executor.executor_id for executor in renewals]


def test_tickets_of_reserved_executors_are_renewed_in_one_call():
    # Nine tickets were renewed in a call of one second, and then the two others in a
    # second call, at the end of which the first nine had almost expired.
    renewed = choose_renewals([0.9, 1.3, 1.3, 1.3], reserved=4, gang=True)
    assert sorted(renewed) == ["i-0", "i-1", "i-2", "i-3"]
    assert renewed[0] == "i-0"


def test_tickets_that_outlast_a_call_are_not_renewed():
    assert choose_renewals([1.3, 1.4, 1.3], reserved=3, gang=True) == []


def test_gang_with_reservations_renews_no_other_tickets():
    assert choose_renewals([0.5, 0.5, 0.0], reserved=2, gang=True) == ["i-0", "i-1"]


def test_step_without_reservations_renews_expired_tickets():
    assert choose_renewals([1.3, 0.0, 0.5, 0.02], reserved=0) == ["i-1", "i-3"]


# A gang that was allowed on executors which lasting tasks fill queried no others, since
# the allowed ones would have held it empty.
def test_gang_queries_further_executors_if_lasting_tasks_hold_the_allowed_ones():
    fleet = make_fleet(12)
    gang = make_step("b" * 16, task_count=3, cpu_millis=8_000, gang=True)
    queue = Queue(name="q", host="", path_prefix="", service="svc", policy=TIMING)
    client = PolicyClient(SimpleNamespace(fence=1), None, list, None)
    for is_lasting in (False, True):
        for number, executor in enumerate(fleet):
            for run in list(executor.runs.values()):
                executor.remove_run(run)
            step = make_step(
                f"{number:016x}",
                task_count=1,
                cpu_millis=8_000,
                long_running=is_lasting and number < 6,
            )
            executor.add_run(Run(step, 0, 1, executor.executor_id, 0.0))
        chosen = client.choose_further(gang, queue, fleet[:6], fleet[6:], 6)
        assert bool(chosen) is is_lasting


load_tests = make_load_tests(globals())
