"""Time limit for the starts of a gang.

Executors end a member that has waited for the others for too long. So the starts of a
gang follow each other without those of single tasks in between.
"""

import math

import anyio

from gypsumring.cell.start_demand import MAX_UNSENT_S, start_bytes
from gypsumring.cell.state import CellState
from gypsumring.pipelines import PipelineSpec, Run, StepSpec

__all__ = [
    "is_gang_incomplete",
    "is_member_start_late",
]

# If not all members of a gang have started within this time after the first one was
# sent, and the time that the link needs for all of them, the owner stops them.
GANG_START_TIMEOUT_S = 1.5
# Stops are sent at least this long before executors end members that wait.
GANG_STOP_LEAD_S = 0.5


def longest_start_s(state: CellState) -> float:
    """Return for how long members may wait for the start of the last one."""
    gang_s = state.timing.gang_s
    return max(gang_s / 2, gang_s - GANG_STOP_LEAD_S) if gang_s else math.inf


def transfer_s(state: CellState, spec: PipelineSpec, step: StepSpec) -> float:
    """Return the time that the link needs for the starts of a gang alone."""
    return step.task_count * state.traffic.transfer_s(start_bytes(spec))


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
