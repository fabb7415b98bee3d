"""Hold the caps of client accounts at each start of a task.

What an account has running is counted from the decision to start a task until the task
is certain not to run (``state.usage``). After a takeover, tasks that an earlier owner
may have started on executors that have not responded count as well, as do attempts of
the account that the cell has no record of.
"""

import sys
from collections import Counter
from collections.abc import Sequence

from gypsumring.accounts.caps import Amounts, count_startable, count_under_half
from gypsumring.cell.state import CellState
from gypsumring.dispatch import Placement
from gypsumring.pipelines import Queue, Step, parse_task
from gypsumring.utils.logs import EventLogger

__all__ = ["CapLimiter"]

log = EventLogger("scheduler")

# A gang that its cap has blocked for this time keeps other steps of its account from
# starting above half of the cap.
GANG_DELAY_S = 0.4
# A gang that is admitted keeps them from it for this further time, in which it gets its
# tickets and executors.
GANG_START_S = 3.0
# Maximum number of blocked steps of an account that one review admits.
MAX_ADMITTED = 50
NOTHING = (0, 0, 0)
UNLIMITED = sys.maxsize


class CapLimiter:
    """Limiter of the starts of capped accounts.

    A step that its cap blocks is admitted again by a review, in order of service, so
    that steps that arrive later do not take what ends of tasks release.
    """

    __slots__ = (
        "admitted",
        "blocked",
        "blocked_accounts",
        "gangs",
        "is_active",
        "pending_runs",
        "state",
    )

    def __init__(self, state: CellState):
        self.state = state
        # Whether any account has a cap, as of the last review.
        self.is_active = False
        # Blocked steps with the time since which they are, and their accounts.
        self.blocked: dict[Step, float] = {}
        self.blocked_accounts: set[str] = set()
        # Gangs that were blocked, with the time since which and, once they have been
        # admitted, the time up to which they go before other steps of their account.
        self.gangs: dict[Step, tuple[float, float | None]] = {}
        # Steps that the last review admitted.
        self.admitted: set[Step] = set()
        # What accounts may have running beyond ``state.usage``, as of the last review.
        self.pending_runs: dict[str, Amounts] = {}

    def held_by(self, account: str) -> Amounts:
        """Return what an account has running or may have running."""
        held = self.state.usage.held.get(account, NOTHING)
        extra = self.pending_runs.get(account)
        if extra is None:
            return held
        return held[0] + extra[0], held[1] + extra[1], held[2] + extra[2]

    def find_cap(self, step: Step) -> Amounts | None:
        """Return the cap of a step's account; None if nothing is limited."""
        if not self.is_active:
            return None
        return self.state.accounts.caps.get(step.job.spec.account)

    def count_startable(self, step: Step) -> int:
        """Return how many pending tasks the cap lets start; a gang all or none."""
        count = len(step.pending)
        cap = self.find_cap(step)
        if cap is None:
            return count
        account = step.job.spec.account
        held, demand = self.held_by(account), demand_of(step)
        if step in self.admitted or account not in self.blocked_accounts:
            allowed = count_startable(cap, held, demand, count)
        else:
            # Other steps of the account have waited for longer.
            allowed = count_for_later_step(step, cap, held, count)
        return 0 if step.spec.gang and allowed < count else allowed

    def admit(self, step: Step, now: float) -> bool:
        """Return whether the cap lets a step start; record the step if it is blocked.

        A blocked step holds no reservations. Steps that the last review admitted may
        find the cap used up when they are placed.
        """
        if not self.is_active or step in self.admitted or self.count_startable(step):
            return True
        if step not in self.blocked:
            self.block(step, now)
        return False

    def limit_placements(
        self, step: Step, placements: list[Placement], now: float
    ) -> list[Placement]:
        """Return the placements that the cap lets start; a gang's all or none."""
        if not self.is_active:
            return placements
        count = self.count_startable(step)
        if count < len(placements):
            self.block(step, now)
        return placements[:count]

    def block(self, step: Step, since: float) -> None:
        """Record a step that its cap has blocked since a time."""
        account = step.job.spec.account
        self.blocked[step] = since
        self.blocked_accounts.add(account)
        if step.reserved:
            step.clear_reservation()
        if step.capped_since is None:
            step.capped_since = since
            self.state.metrics.count("cell.starts.blocked_by_cap")
            self.state.accounts.blocks[account] += 1
            if step.spec.gang:
                self.log_excessive_gang(step, self.state.accounts.caps[account])

    def is_blocked(self, step: Step) -> bool:
        """Return whether the cap of its account keeps a step from starting."""
        return self.is_active and not self.count_startable(step)

    def review(
        self, rows: list[tuple[Step, Queue]], now: float
    ) -> tuple[list[tuple[Step, Queue]], list[Step]]:
        """Return the rows that no cap blocks, and steps that are no longer blocked.

        ``rows`` are the waiting steps in order of service.
        """
        caps = self.state.accounts.caps
        self.is_active = self.state.accounts.is_active() and bool(caps)
        earlier, self.admitted = self.blocked, set()
        self.blocked, self.blocked_accounts = {}, set()
        if not self.is_active:
            self.gangs = {}
            return rows, list(earlier)
        self.update_gangs(rows, earlier, now)
        held_gangs = self.find_held_gangs(rows, now)
        self.pending_runs = self.count_pending_runs()
        headroom: dict[str, Amounts | None] = {}
        open_rows = []
        newly_admitted = []
        admitted_counts: Counter[str] = Counter()
        for row in rows:
            step, queue = row
            account = step.job.spec.account
            if account not in headroom:
                headroom[account] = self.find_headroom(account)
            room = headroom[account]
            if room is None:
                open_rows.append(row)
                continue
            fits = is_within(step, room)
            if fits and held_gangs and account in held_gangs:
                gang, priority = held_gangs[account]
                if step is not gang and queue.priority >= priority:
                    fits = self.may_precede_gang(step, caps[account])
            was_blocked = step in earlier
            if fits and not (was_blocked and admitted_counts[account] >= MAX_ADMITTED):
                if was_blocked:
                    newly_admitted.append(step)
                    admitted_counts[account] += 1
                self.admitted.add(step)
                open_rows.append(row)
            else:
                self.block(step, earlier.get(step, now))
        return open_rows, newly_admitted

    def find_headroom(self, account: str) -> Amounts | None:
        """Return what an account may start in each resource; None without a cap.

        An account above its cap in any resource has a negative headroom in all.
        """
        cap = self.state.accounts.caps.get(account)
        if cap is None:
            return None
        cpu, memory, accelerators = self.held_by(account)
        cpu = cap[0] - cpu if cap[0] else UNLIMITED
        memory = cap[1] - memory if cap[1] else UNLIMITED
        accelerators = cap[2] - accelerators if cap[2] else UNLIMITED
        if cpu < 0 or memory < 0 or accelerators < 0:
            return -1, -1, -1
        return cpu, memory, accelerators

    def update_gangs(
        self, rows: list[tuple[Step, Queue]], earlier: dict[Step, float], now: float
    ) -> None:
        """Update the gangs that were blocked and have not started since."""
        gangs = {}
        for step, _ in rows:
            if not step.spec.gang or step.runs:
                continue
            since, until = self.gangs.get(step, (earlier.get(step, now), None))
            if step in earlier:
                gangs[step] = since, None
            elif step in self.gangs and (until is None or now < until):
                gangs[step] = since, now + GANG_START_S if until is None else until
        self.gangs = gangs

    def find_held_gangs(
        self, rows: list[tuple[Step, Queue]], now: float
    ) -> dict[str, tuple[Step, int]]:
        """Return the gang of each account that has been blocked for longest.

        The result contains its priority. Other steps of the account of the same or a
        lower priority start only below half of the cap, so that the gang gets its part.
        """
        found: dict[str, tuple[Step, int]] = {}
        if not self.gangs:
            return found
        for step, queue in rows:
            if step not in self.gangs:
                continue
            account = step.job.spec.account
            cap = self.state.accounts.caps.get(account)
            since, _ = self.gangs[step]
            if now - since < GANG_DELAY_S or cap is None:
                continue
            if not is_gang_feasible(step, cap):
                continue
            if account not in found or since < self.gangs[found[account][0]][0]:
                found[account] = step, queue.priority
        return found

    def may_precede_gang(self, step: Step, cap: Amounts) -> bool:
        """Return whether a step may start although a gang of its account waits."""
        needed = len(step.pending) if step.spec.gang else 1
        held = self.held_by(step.job.spec.account)
        return count_for_later_step(step, cap, held, needed) >= needed

    def log_excessive_gang(self, step: Step, cap: Amounts) -> None:
        """Log a gang that exceeds the cap of its account even alone."""
        if is_gang_feasible(step, cap):
            return
        self.state.metrics.count("cell.gangs.above_cap")
        log.warning(
            "gang exceeds the cap of its account",
            step=step.name,
            account=step.job.spec.account,
            task_count=len(step.pending),
            cpu_millis=step.spec.cpu_millis,
            memory_mb=step.spec.memory_mb,
            cap=cap,
        )

    def count_pending_runs(self) -> dict[str, Amounts]:
        """Return what accounts may have running beyond the accounted attempts."""
        found: dict[str, list[int]] = {}
        if self.state.unreconciled:
            self.add_uncertain_tasks(found)
        for executor in self.state.fleet.values():
            for task, _ in executor.unknown_runs:
                self.add_unknown_run(found, task)
        return {account: tuple(amounts) for account, amounts in found.items()}

    def add_uncertain_tasks(self, found: dict[str, list[int]]) -> None:
        """Add the tasks that an earlier owner may have started.

        They run on executors that have not responded, whose capacity bounds them. Jobs
        that have ended may run until the leases of the earlier owner have expired.
        """
        # The executors do not account the CPU of tasks that fill.
        fills: dict[str, list[int]] = {}
        ended_since_ms = self.state.wall_clock() - self.state.inherited_lease_s * 1000
        for job in self.state.table.jobs.values():
            account = job.spec.account
            if not job.inherited or account not in self.state.accounts.caps:
                continue
            if job.phase.is_final and job.final_since_ms < ended_since_ms:
                continue
            for step in job.steps:
                if step.uncertain and step.spec.fills:
                    add_demand(fills, account, demand_of(step), len(step.uncertain))
                elif step.uncertain:
                    add_demand(found, account, demand_of(step), len(step.uncertain))
        capacity = self.sum_unreconciled_capacity()
        for amounts in found.values():
            amounts[:] = map(min, amounts, capacity)
        for account, amounts in fills.items():
            add_demand(found, account, amounts, 1)

    def sum_unreconciled_capacity(self) -> Amounts:
        """Return the capacity of the executors that have not responded."""
        capacities = [
            executor.entry.capacity
            for executor_id, executor in self.state.fleet.items()
            if executor_id in self.state.unreconciled
        ]
        return tuple(map(sum, zip(*capacities))) or NOTHING

    def add_unknown_run(self, found: dict[str, list[int]], task: str) -> None:
        """Add an attempt that the cell has no record of, if its account is known."""
        parsed = parse_task(task)
        job = self.state.table.jobs.get(parsed[0]) if parsed else None
        if job is None or job.spec.account not in self.state.accounts.caps:
            return
        if parsed[2] < len(job.spec.steps):
            spec = job.spec.steps[parsed[2]]
            demand = spec.cpu_millis, spec.memory_mb, spec.accelerators
            add_demand(found, job.spec.account, demand, 1)


def is_within(step: Step, room: Amounts) -> bool:
    """Return whether a task of a step, or a whole gang, fits into a headroom."""
    spec = step.spec
    count = len(step.pending) if spec.gang else 1
    return (
        count * spec.cpu_millis <= room[0]
        and count * spec.memory_mb <= room[1]
        and count * spec.accelerators <= room[2]
    )


def demand_of(step: Step) -> Amounts:
    """Return what one task of a step counts for its account."""
    spec = step.spec
    return spec.cpu_millis, spec.memory_mb, spec.accelerators


def count_for_later_step(step: Step, cap: Amounts, held: Amounts, count: int) -> int:
    """Return how many tasks may start while other steps of the account come first.

    These steps keep none from starting while the account is below half of its cap.
    """
    demand = demand_of(step)
    allowed = count_under_half(cap, held, demand, count)
    if step.spec.gang and allowed:
        return count_startable(cap, held, demand, count)
    return allowed


def is_gang_feasible(step: Step, cap: Amounts) -> bool:
    """Return whether a gang is within the cap if nothing else of the account runs."""
    count = step.spec.task_count
    return count_startable(cap, NOTHING, demand_of(step), count) >= count


def add_demand(
    found: dict[str, list[int]], account: str, demand: Sequence[int], count: int
) -> None:
    """Add the demand of some tasks to that of their account."""
    amounts = found.setdefault(account, [0, 0, 0])
    for number, needed in enumerate(demand):
        amounts[number] += count * needed
