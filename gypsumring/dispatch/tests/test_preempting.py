"""Guard against needless, unfair and useless stops of tasks for waiting steps.

The load is a room full of checkpointed work of a lower priority that a gang waits for.
"""

import random

from gypsumring.dispatch.preempting import (
    MAX_CHECKPOINT_AGE_S,
    Candidate,
    choose_victims,
    find_yielding_runs,
    is_preemption_due,
    list_ending,
    may_be_preempted,
)
from gypsumring.dispatch.tests.fleets import change_capacity, make_executor, make_step
from gypsumring.pipelines.runs import Run, RunState
from gypsumring.utils.testing import make_load_tests

NOW = 100.0
STOP_S = 0.2
URGENT = (False, 1, False)
LATER = (False, 2, False)


def add_run(executor, job_id, rank_by_run=None, rank=LATER, age_s=0.5, **fields):
    """Run one task that has a checkpoint of this age; its end is far."""
    fields = {"estimated_ms": 60_000, "checkpointing": True, **fields}
    step = make_step(job_id, task_count=1, **fields)
    run = Run(step, 0, 1, executor.executor_id, NOW - 5)
    run.state = RunState.RUNNING
    run.checkpoint_at = NOW - age_s
    step.pending.clear()
    step.runs[0] = [run]
    executor.add_run(run)
    if rank_by_run is not None:
        rank_by_run[run] = rank
    return run


def make_candidates(step, executors, ranks=None, stopping=()):
    """Return the executors as candidates; attempts are of rank LATER by default."""
    ranks = ranks or {}
    return [
        Candidate(
            step,
            executor,
            find_yielding_runs(
                executor, lambda run: ranks.get(run, LATER), always, NOW, STOP_S
            ),
            [run for run in stopping if run in executor.runs.values()],
            list_ending(executor, NOW, STOP_S),
        )
        for executor in executors
    ]


def always(run):
    """Let every attempt be stopped."""
    return True


def choose(step, executors, rank=URGENT, ranks=None, stopping=(), **options):
    """Return the plan for a step on executors."""
    candidates = make_candidates(step, executors, ranks, stopping)
    return choose_victims(step, candidates, rank, NOW, **options)


def make_full_fleet(count=6, tasks=4, cpu=4_000):
    """Return executors of 16 cores, full of checkpointed tasks."""
    fleet = [make_executor(f"i-{number}", cpu_millis=16_000) for number in range(count)]
    for number, executor in enumerate(fleet):
        for index in range(tasks):
            add_run(executor, f"{number * 100 + index:016x}", cpu_millis=cpu)
    return fleet


def make_gang(task_count=6, cpu_millis=4_500, **fields):
    """Return a gang that waits."""
    step = make_step(
        "f" * 16, task_count=task_count, cpu_millis=cpu_millis, gang=True, **fields
    )
    step.waiting_since = NOW - 1
    return step


def test_gang_gets_all_its_members_from_a_full_room():
    plan = choose(make_gang(), make_full_fleet())
    assert plan.task_capacity == 6
    # Four tasks leave room for three members on each of two executors.
    assert len(plan.victims) == 8
    assert len(plan.executors) == 2


def test_gang_that_cannot_be_completed_stops_nothing():
    assert choose(make_gang(task_count=19), make_full_fleet()) is None
    assert choose(make_gang(), make_full_fleet(), max_victims=7) is None


def test_free_capacity_is_used_first():
    fleet = [*make_full_fleet(), make_executor("z-0", cpu_millis=16_000)]
    plan = choose(make_gang(), fleet)
    assert len(plan.victims) == 4
    assert "z-0" in {executor.executor_id for executor in plan.executors}
    fleet.append(make_executor("z-1", cpu_millis=16_000))
    plan = choose(make_gang(), fleet)
    assert not plan.victims


def test_work_with_the_newest_checkpoints_is_stopped():
    fleet = [make_executor(f"i-{number}") for number in range(2)]
    for number, age_s in enumerate((0.9, 0.1)):
        add_run(fleet[number], f"{number:016x}", cpu_millis=8_000, age_s=age_s)
    plan = choose(make_step("f" * 16, task_count=1, cpu_millis=2_000), fleet)
    assert [victim.run.executor_id for victim in plan.victims] == ["i-1"]
    assert abs(plan.lost_core_s - 8 * (0.1 + 0.25)) < 1e-6


def test_work_that_is_about_to_end_is_waited_for():
    fleet = make_full_fleet(1, 0)
    for index in range(4):
        add_run(fleet[0], f"{index:016x}", cpu_millis=4_000, estimated_ms=100)
    for run in fleet[0].runs.values():
        run.started_at = NOW - 0.05
    assert choose(make_gang(task_count=3), fleet) is None


def test_only_a_strictly_larger_rank_yields():
    fleet = make_full_fleet(1)
    for ranks, has_plan in (
        (URGENT, False),
        ((False, 0, True), False),
        ((False, 1, True), True),
        ((True, 0, False), True),
    ):
        by_run = dict.fromkeys(fleet[0].runs.values(), ranks)
        plan = choose(make_gang(task_count=3), fleet, ranks=by_run)
        assert (plan is not None) is has_plan, ranks


def test_which_attempts_may_be_stopped():
    executor = make_executor("i-0", cpu_millis=64_000)
    assert may_be_preempted(add_run(executor, "a" * 16), NOW)
    for number, fields in enumerate(
        (
            {"checkpointing": False},
            {"gang": True},
            {"long_running": True},
            {"fills": True},
            {"disruption_budget": 1},
            {"age_s": MAX_CHECKPOINT_AGE_S + 0.1},
        )
    ):
        run = add_run(executor, f"{number:016x}", **fields)
        assert not may_be_preempted(run, NOW), fields
    run = add_run(executor, "b" * 16)
    run.state = RunState.STOPPING
    assert not may_be_preempted(run, NOW)
    run.state, run.checkpoint_at = RunState.RUNNING, None
    assert not may_be_preempted(run, NOW)


def test_attempts_being_stopped_for_the_step_count_as_free():
    fleet = make_full_fleet()
    gang = make_gang()
    first = choose(gang, fleet)
    stopping = [victim.run for victim in first.victims]
    for run in stopping:
        run.state = RunState.STOPPING
    plan = choose(gang, fleet, stopping=stopping)
    assert not plan.victims
    assert {row.executor_id for row in plan.executors} == {
        row.executor_id for row in first.executors
    }


def test_single_tasks_get_what_can_be_released_for_them():
    fleet = make_full_fleet(1)
    step = make_step("f" * 16, task_count=9, cpu_millis=4_000)
    step.waiting_since = NOW - 1
    plan = choose(step, fleet)
    assert plan.task_capacity == 4
    assert len(plan.victims) == 4
    plan = choose(step, fleet, max_victims=2)
    assert len(plan.victims) == 2


def test_no_more_is_stopped_than_the_cap_of_the_account_lets_start():
    step = make_step("f" * 16, task_count=9, cpu_millis=4_000)
    step.waiting_since = NOW - 1
    plan = choose(step, make_full_fleet(4), max_tasks=2)
    assert len(plan.victims) == 2
    assert choose(step, make_full_fleet(4), max_tasks=0) is None
    assert choose(make_gang(), make_full_fleet(), max_tasks=5) is None
    # A task that fits already is what the cap lets start.
    fleet = [*make_full_fleet(1), make_executor("z-0", cpu_millis=4_000)]
    assert not choose(step, fleet, max_tasks=1).victims


def test_memory_accelerators_and_the_limit_per_executor_count():
    fleet = make_full_fleet(2)
    for executor in fleet:
        change_capacity(executor, memory_mb=32_000, accelerators=1)
    assert choose(make_gang(memory_mb=20_000), fleet) is None
    assert choose(make_gang(max_per_executor=2), fleet) is None
    assert choose(make_gang(task_count=4, max_per_executor=2), fleet)
    assert choose(make_gang(task_count=3, accelerators=1), fleet) is None
    assert choose(make_gang(task_count=2, accelerators=1), fleet)


def test_gang_of_one_rack_gets_its_capacity_on_one_rack():
    fleet = make_full_fleet(4)
    for number, executor in enumerate(fleet):
        change_capacity(executor, labels=("a", f"r{number % 2}"))
    plan = choose(make_gang(same_rack=True), fleet)
    assert len({executor.rack for executor in plan.executors}) == 1
    # The start waits for one rack for the extra time, so that no stop may come earlier.
    gang = make_gang(task_count=9, same_rack=True, estimated_ms=60_000)
    assert choose(gang, fleet, spread_factor=2.0) is None


def test_executors_on_which_a_task_failed_are_avoided():
    fleet = make_full_fleet(2)
    step = make_step("f" * 16, task_count=1, cpu_millis=4_000)
    step.avoided = {0: {"i-0"}}
    plan = choose(step, fleet)
    assert [executor.executor_id for executor in plan.executors] == ["i-1"]


def test_a_step_has_to_wait_before_others_are_stopped():
    gang = make_gang()
    assert is_preemption_due(gang, NOW)
    gang.waiting_since = NOW - 0.1
    assert not is_preemption_due(gang, NOW)
    gang.waiting_since = None
    assert not is_preemption_due(gang, NOW)


def make_random_case(source):
    """Return a step, executors, and ranks by attempt, all random."""
    fleet, ranks = [], {}
    for number in range(source.randint(1, 6)):
        executor = make_executor(f"i-{number}", cpu_millis=16_000)
        change_capacity(
            executor,
            memory_mb=source.choice((16_000, 32_000)),
            accelerators=source.randint(0, 2),
            labels=("a", f"r{source.randint(0, 2)}"),
        )
        fleet.append(executor)
        for index in range(source.randint(0, 8)):
            fields = {
                "cpu_millis": source.choice((500, 1_000, 4_000, 6_000)),
                "memory_mb": source.choice((0, 1_000, 6_000)),
                "accelerators": source.choice((0, 0, 0, 1)),
                "checkpointing": source.random() < 0.8,
                "estimated_ms": source.choice((5_050, 20_000, 60_000)),
            }
            free = executor.free_capacity()
            wanted = (fields["cpu_millis"], fields["memory_mb"], fields["accelerators"])
            if all(need <= left for need, left in zip(wanted, free)):
                rank = (
                    source.random() < 0.2,
                    source.randint(0, 2),
                    source.random() < 0.5,
                )
                job_id = f"{number * 100 + index:016x}"
                age_s = source.random()
                add_run(executor, job_id, ranks, rank, age_s, **fields)
    step = make_step(
        "f" * 16,
        task_count=source.randint(1, 10),
        cpu_millis=source.choice((0, 1_000, 4_500)),
        memory_mb=source.choice((0, 2_000, 8_000)),
        accelerators=source.choice((0, 0, 1)),
        max_per_executor=source.choice((0, 0, 2)),
        gang=source.random() < 0.6,
        same_rack=source.random() < 0.2,
    )
    step.waiting_since = NOW - 10
    return step, fleet, ranks


def count_held(step, executors, victims):
    """Return how many tasks of a step the executors hold without the victims."""
    stopped = {victim.run for victim in victims}
    return sum(
        Candidate(step, executor, []).count_tasks(
            run for run in executor.runs.values() if run in stopped
        )
        for executor in executors
    )


def test_random_fleets_lose_no_more_than_needed_and_only_larger_ranks():
    planned = 0
    for seed in range(3_000):
        source = random.Random(seed)
        step, fleet, ranks = make_random_case(source)
        rank = (False, source.randint(0, 2), source.random() < 0.5)
        plan = choose(step, fleet, rank, ranks)
        if plan is None or not plan.victims:
            continue
        planned += 1
        assert all(ranks[victim.run] > rank for victim in plan.victims), seed
        assert len({victim.run for victim in plan.victims}) == len(plan.victims)
        used = {executor.executor_id for executor in plan.executors}
        assert {victim.run.executor_id for victim in plan.victims} <= used, seed
        held = min(len(step.pending), count_held(step, plan.executors, plan.victims))
        assert held == plan.task_capacity, seed
        if step.spec.gang:
            assert held == len(step.pending), seed
        for victim in plan.victims:
            others = [other for other in plan.victims if other is not victim]
            assert count_held(step, plan.executors, others) < held, seed
        for executor in plan.executors:
            check_capacity(step, executor, plan)
    assert planned > 300, planned


def test_gang_that_all_yielding_work_would_let_start_gets_a_plan():
    found = 0
    for seed in range(1_000):
        step, fleet, ranks = make_random_case(random.Random(seed))
        rank = (False, 0, False)
        candidates = make_candidates(step, fleet, ranks)
        most = sum(
            row.count_tasks(other.run for other in row.yielding if other.rank > rank)
            for row in candidates
        )
        has_ending = any(
            run.step.spec.estimated_ms == 5_050
            for executor in fleet
            for run in executor.runs.values()
        )
        if step.spec.gang and not has_ending:
            plan = choose_victims(step, candidates, rank, NOW)
            assert (plan is not None) is (most >= len(step.pending)), seed
            found += plan is not None
    assert found > 10, found


def check_capacity(step, executor, plan):
    """Check that the planned tasks and the remaining attempts fit an executor."""
    stopped = {victim.run for victim in plan.victims}
    rest = [run.step.spec for run in executor.runs.values() if run not in stopped]
    count = count_held(step, [executor], plan.victims)
    for field, limit in zip(
        ("cpu_millis", "memory_mb", "accelerators"), executor.entry.capacity
    ):
        used = sum(getattr(spec, field) for spec in rest)
        assert used + count * getattr(step.spec, field) <= limit, executor.executor_id


load_tests = make_load_tests(globals())
