"""Whether the link of the owner carries the starts of a gang in time.

Executors end a member that has waited for the others for too long. So the starts of a
gang follow each other without those of single tasks in between, and a gang for which
the link needs longer than members wait is not started.
"""

import math
from collections.abc import Container

import anyio

from gypsumring.cell.start_demand import MAX_UNSENT_S, start_bytes
from gypsumring.cell.state import CellState
from gypsumring.pipelines import PipelineSpec, Run, Step, StepSpec
from gypsumring.transport.traffic import OTHER_PERIOD_S

__all__ = [
    "LinkHolds",
    "can_carry_gang",
    "can_carry_gang_now",
    "can_carry_gangs",
    "is_gang_incomplete",
    "is_member_start_late",
]

# If not all members of a gang have started within this time after the first one was
# sent, and the time that the link needs for all of them, the owner stops them.
GANG_START_TIMEOUT_S = 1.5
# Stops are sent at least this long before executors end members that wait.
GANG_STOP_LEAD_S = 0.5
# No other task is placed for this time while a gang waits for the link. What the link
# has carried before for others hardly counts any more then.
MAX_HOLD_S = 2 * OTHER_PERIOD_S


class LinkHolds:
    """Gangs that have room, but that the link carries in time only without the rest.

    The link is kept free for them for a while: it is held in a scheduling pass once
    such a gang was evaluated, and steps after it in the order of service are left out.
    """

    __slots__ = ("held_until", "is_held", "next_hold_at", "state", "waiting")

    def __init__(self, state: CellState):
        self.state = state
        self.waiting: set[Step] = set()
        # All gangs share one hold, and as long a time without one follows it.
        self.held_until = 0.0
        self.next_hold_at = 0.0
        self.is_held = False

    def begin_pass(self, waiting: Container[Step]) -> None:
        """Forget the steps that do not wait any more."""
        self.is_held = False
        self.waiting = {step for step in self.waiting if step in waiting}

    def admit(self, step: Step, now: float) -> bool:
        """Return whether a step may start; hold the link for a gang that may not."""
        if can_carry_gang_now(self.state, step):
            self.waiting.discard(step)
            return True
        if step not in self.waiting:
            self.waiting.add(step)
            self.state.metrics.count("cell.gangs.held_for_link")
        if now >= self.next_hold_at:
            self.held_until = now + MAX_HOLD_S
            self.next_hold_at = self.held_until + MAX_HOLD_S
        if now <= self.held_until:
            self.is_held = True
        return False


def longest_start_s(state: CellState) -> float:
    """Return for how long members may wait for the start of the last one."""
    gang_s = state.timing.gang_s
    return max(gang_s / 2, gang_s - GANG_STOP_LEAD_S) if gang_s else math.inf


def transfer_s(state: CellState, spec: PipelineSpec, step: StepSpec) -> float:
    """Return the time that the link needs for the starts of a gang alone."""
    return step.task_count * state.traffic.transfer_s(start_bytes(spec))


def can_carry_gang(state: CellState, spec: PipelineSpec, step: StepSpec) -> bool:
    """Return whether the link can ever carry the starts of a gang in time."""
    return not step.gang or transfer_s(state, spec, step) <= longest_start_s(state)


def can_carry_gangs(state: CellState, spec: PipelineSpec) -> bool:
    """Return whether the link can carry the starts of each gang of a job in time."""
    return all(can_carry_gang(state, spec, step) for step in spec.steps)


def can_carry_gang_now(state: CellState, step: Step) -> bool:
    """Return whether the link carries the starts of a gang in time beside the rest."""
    if not step.spec.gang or math.isinf(longest_start_s(state)):
        return True
    free_share = 1 - state.traffic.other_share()
    needed_s = transfer_s(state, step.job.spec, step.spec)
    return needed_s <= free_share * longest_start_s(state)


def is_member_start_late(state: CellState, run: Run) -> bool:
    """Return whether a member of a gang has not started in time.

    The others wait for it from when the first of them was sent.
    """
    limit_s = min(
        GANG_START_TIMEOUT_S + transfer_s(state, run.step.job.spec, run.step.spec),
        longest_start_s(state),
    )
    return anyio.current_time() - gang_began_at(state, run) > limit_s


def gang_began_at(state: CellState, run: Run) -> float:
    """Return when the first member of a gang's attempt was sent.

    A gang of which no member has been sent for a while waits for its executors, and not
    for the link.
    """
    waits_for_link = not math.isinf(state.traffic.bytes_per_s)
    began_at = run.started_at + MAX_UNSENT_S * waits_for_link
    for member in run.step.active_runs():
        if member.attempt == run.attempt and member.first_sent_at is not None:
            began_at = min(began_at, member.first_sent_at)
    return began_at


def is_gang_incomplete(run: Run) -> bool:
    """Return whether other members of a gang's attempt wait for this one."""
    return run.step.spec.gang and any(
        member.attempt == run.attempt and member.was_sent
        for member in run.step.active_runs()
    )
