"""Query the policy service about waiting steps, through all nodes."""

import random
from collections.abc import Awaitable, Callable

import anyio

from gypsumring.cell.state import CellState
from gypsumring.dispatch import (
    AdviserPool,
    AllowedShares,
    Placement,
    choose_call_size,
    choose_new,
    split_calls,
)
from gypsumring.dispatch.placing import has_room, places_on
from gypsumring.fleet import ExecutorState
from gypsumring.pipelines import PolicyTiming, Queue, Step
from gypsumring.ports.tasks import PolicyBusy, PolicyUnavailable, Ticket
from gypsumring.utils.logs import EventLogger

__all__ = ["AdviceDesk", "AskPeer", "TICKET_MARGIN_S"]

log = EventLogger("scheduler")

# A ticket that expires within this time is not used for a start.
TICKET_MARGIN_S = 0.03
# The time-out of a policy call is its expected duration times this factor, plus the
# margin.
ADVICE_FACTOR = 3.0
ADVICE_MARGIN_S = 0.3
# Delay before the policy service is queried again for a step whose call failed.
ADVICE_RETRY_S = 0.1
# The first call for a step is queued behind other calls only if it begins within this
# time.
QUEUE_S = 0.1
# Delay before the fleet is searched again if no executor is worth a query.
NOTHING_TO_ASK_S = 0.25

AskPeer = Callable[[str, str, list[str], float], Awaitable[list[tuple[str, str]]]]
Place = Callable[[Step, list[ExecutorState]], list[Placement]]


class AdviceDesk:
    """Client of the policy service that selects executors and stores the tickets."""

    __slots__ = (
        "advisers",
        "ask_peer",
        "list_peers",
        "place",
        "shares",
        "source",
        "state",
    )

    def __init__(
        self,
        state: CellState,
        place: Place,
        list_peers: Callable[[], list[str]],
        ask_peer: AskPeer,
    ):
        self.state = state
        self.place = place
        self.list_peers = list_peers
        self.ask_peer = ask_peer
        self.advisers = AdviserPool()
        self.shares = AllowedShares()
        self.source = random.Random(state.fence)

    def ask_about(
        self,
        step: Step,
        queue: Queue,
        allowed: list[ExecutorState],
        find_unasked: Callable[[], list[ExecutorState]],
        now: float,
    ) -> None:
        """Query the policy service about executors that may run a waiting step.

        Further executors are queried until the ``allowed`` executors have capacity for
        all pending tasks. An allowed executor whose ticket has expired is queried again
        once it has free capacity.
        """
        timing = queue.policy
        self.advisers.set_names(self.list_peers())
        open_at = self.advisers.open_at(now)
        if open_at > now:
            step.held_back_until = open_at
            return
        size = choose_call_size(timing)
        idle = self.advisers.count_idle(timing, size, now)
        if not idle and (step.asked or self.advisers.wait_s(timing, now) > QUEUE_S):
            # By the next evaluation more nodes may be linked, and a step of higher rank
            # may come first.
            return
        fits = has_room(step, allowed)
        placements = self.place(step, allowed) if fits else []
        asked = self.choose_renewed(step, timing, allowed, bool(placements), now)
        if len(placements) < len(step.pending) and not has_plan(step):
            places = sum(places_on(step, executor) for executor in allowed)
            share = self.shares.get(queue.name)
            asked += choose_new(step, find_unasked(), places, share, size, self.source)
        if not asked:
            if not step.reserved:
                step.held_back_until = now + NOTHING_TO_ASK_S
            return
        calls = split_calls(asked, size, idle)
        step.asking = len(calls)
        for executor_ids in calls:
            self.state.group.start_soon(
                self.ask_policy, step, queue.name, timing, executor_ids
            )

    def choose_renewed(
        self,
        step: Step,
        timing: PolicyTiming,
        allowed: list[ExecutorState],
        fits: bool,
        now: float,
    ) -> list[ExecutorState]:
        """Return the allowed executors whose tickets have to be renewed.

        If the step ``fits``, these are the executors with free capacity and an expired
        ticket. Tickets of executors reserved for the step are renewed before they
        expire. A gang starts on its reserved executors, so that it needs no others.
        """
        call_s = timing.call_s(1 + len(step.reserved)) + TICKET_MARGIN_S
        fits = fits and not has_plan(step)
        renewed = []
        for executor in allowed:
            executor_id = executor.executor_id
            left_s = step.ticket_left_s(executor_id, now)
            if executor_id in step.reserved and left_s < call_s:
                renewed.append(executor)
            elif fits and left_s < TICKET_MARGIN_S and executor.fit_count(step.spec):
                renewed.append(executor)
        # With few nodes not all tickets are renewed at once; the first to expire come
        # first.
        renewed.sort(key=lambda each: step.ticket_left_s(each.executor_id, now))
        return renewed

    async def ask_policy(
        self, step: Step, queue: str, timing: PolicyTiming, executor_ids: list[str]
    ) -> None:
        """Query the policy service through one of the nodes and store the tickets."""
        now = anyio.current_time()
        adviser = self.advisers.choose(timing, len(executor_ids), now)
        usual = adviser.busy_until - now
        deadline = now + usual * ADVICE_FACTOR + ADVICE_MARGIN_S
        try:
            rows = await self.ask_peer(adviser.name, step.name, executor_ids, deadline)
        except (PolicyUnavailable, PolicyBusy) as error:
            self.state.metrics.count("cell.advice.failed")
            failed_at = anyio.current_time()
            self.advisers.note_failure(adviser, failed_at)
            log.info(
                "advice failed",
                step=step.name,
                node=adviser.name,
                error=str(error),
                node_waits_s=round(adviser.waits_until - failed_at, 3),
            )
            step.held_back_until = failed_at + ADVICE_RETRY_S
            return
        finally:
            self.advisers.finish(adviser, anyio.current_time())
            step.asking -= 1
            self.state.table.touched[step] = None
            self.state.wake()
        self.advisers.note_answer(adviser)
        self.state.metrics.count("cell.advice")
        log.info(
            "advice received",
            step=step.name,
            node=adviser.name,
            asked=len(executor_ids),
            allowed=len(rows),
            took_ms=round((anyio.current_time() - now) * 1000),
        )
        expires_at = anyio.current_time() + timing.valid_s
        step.asked.update(executor_ids)
        self.shares.note(queue, len(executor_ids), len(rows))
        for executor_id, value in rows:
            step.allowed.add(executor_id)
            step.tickets[executor_id] = Ticket(executor_id, value, expires_at)


def has_plan(step: Step) -> bool:
    """Return whether a step is a gang with reserved executors."""
    return step.spec.gang and bool(step.reserved)
