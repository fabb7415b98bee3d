"""Query the policy service about waiting steps, through all nodes."""

import random
from collections.abc import Awaitable, Callable

import anyio

from gypsumring.cell.state import CellState
from gypsumring.dispatch import (
    AllowedShares,
    Placement,
    PolicyProxyPool,
    choose_call_size,
    choose_unqueried,
    may_complete_gang,
    split_calls,
)
from gypsumring.dispatch.placing import count_fitting_eventually, has_capacity
from gypsumring.fleet import ExecutorState
from gypsumring.pipelines import PolicyTiming, Queue, Step
from gypsumring.ports.tasks import PolicyBusy, PolicyUnavailable, Ticket
from gypsumring.utils.logs import EventLogger

__all__ = ["PolicyClient", "QueryPolicyProxy", "TICKET_MARGIN_S"]

log = EventLogger("scheduler")

# A ticket that expires within this time is not used for a start.
TICKET_MARGIN_S = 0.03
# The time-out of a policy call is its expected duration times this factor, plus the
# margin.
CALL_TIMEOUT_FACTOR = 3.0
CALL_TIMEOUT_MARGIN_S = 0.3
# Delay before the policy service is queried again for a step whose call failed.
CALL_RETRY_DELAY_S = 0.1
# The first call for a step is queued behind other calls only if it begins within this
# time.
MAX_FIRST_CALL_WAIT_S = 0.1
# Delay before the fleet is searched again if no executor is worth a query.
NO_CANDIDATE_DELAY_S = 0.25

QueryPolicyProxy = Callable[
    [str, str, list[str], float], Awaitable[list[tuple[str, str]]]
]
PlaceStep = Callable[[Step, list[ExecutorState]], list[Placement]]


class PolicyClient:
    """Client of the policy service that selects executors and stores the tickets."""

    __slots__ = (
        "answered",
        "decided_calls",
        "list_policy_proxies",
        "place",
        "policy_proxies",
        "query_policy_proxy",
        "random_source",
        "shares",
        "state",
    )

    def __init__(
        self,
        state: CellState,
        place: PlaceStep,
        list_policy_proxies: Callable[[], list[str]],
        query_policy_proxy: QueryPolicyProxy,
    ):
        self.state = state
        self.place = place
        self.list_policy_proxies = list_policy_proxies
        self.query_policy_proxy = query_policy_proxy
        # Steps with new tickets, which are valid for a short time.
        self.answered: dict[Step, None] = {}
        self.policy_proxies = PolicyProxyPool()
        # Calls that were decided on in this pass, and have not taken a node yet.
        self.decided_calls = 0
        self.shares = AllowedShares()
        self.random_source = random.Random(state.fence)

    def query_policy(
        self,
        step: Step,
        queue: Queue,
        allowed: list[ExecutorState],
        find_unqueried: Callable[[], list[ExecutorState]],
        now: float,
    ) -> None:
        """Query the policy service about executors that may run a waiting step.

        Further executors are queried until the ``allowed`` executors have capacity for
        all pending tasks. An allowed executor whose ticket has expired is queried again
        once it has free capacity.
        """
        timing = queue.policy
        self.policy_proxies.set_names(self.list_policy_proxies())
        available_at = self.policy_proxies.earliest_call_at(now)
        if available_at > now:
            step.next_policy_call_at = available_at
            return
        call_size = choose_call_size(timing)
        idle_count = self.policy_proxies.count_idle(timing, call_size, now)
        if not idle_count and (
            step.queried
            or self.policy_proxies.estimate_wait_s(timing, now) > MAX_FIRST_CALL_WAIT_S
        ):
            # By the next evaluation more nodes may be linked, and a step of higher rank
            # may come first.
            return
        fits = has_capacity(step, allowed)
        placements = self.place(step, allowed) if fits else []
        to_query = self.choose_renewals(step, timing, allowed, bool(placements), now)
        if len(placements) < len(step.pending) and not is_gang_with_reservations(step):
            to_query += self.choose_further(
                step, queue, allowed, find_unqueried(), call_size
            )
        if not to_query:
            if not step.reserved:
                step.next_policy_call_at = now + NO_CANDIDATE_DELAY_S
            return
        calls = split_calls(to_query, call_size, idle_count - self.decided_calls)
        step.policy_calls_in_flight = len(calls)
        self.decided_calls += len(calls)
        for executor_ids in calls:
            self.state.group.start_soon(
                self.call_policy, step, queue.name, timing, executor_ids
            )

    def pop_answered(self) -> dict[Step, None]:
        """Return the steps that have got tickets since the last call, oldest first."""
        answered, self.answered = self.answered, {}
        return answered

    def choose_further(
        self,
        step: Step,
        queue: Queue,
        allowed: list[ExecutorState],
        unqueried: list[ExecutorState],
        call_size: int,
    ) -> list[ExecutorState]:
        """Return further executors to query for a step that does not fit."""
        share = self.shares.get(queue.name)
        allowed_capacity = sum(
            count_fitting_eventually(step, executor) for executor in allowed
        )
        chosen = choose_unqueried(
            step, unqueried, allowed_capacity, share, call_size, self.random_source
        )
        if step.spec.gang and not may_complete_gang(
            step, allowed, allowed_capacity, chosen, share
        ):
            return []
        return chosen

    def choose_renewals(
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
        expire, all in one call, so that they are valid at the same time. A gang starts
        on its reserved executors, so that it needs no others.
        """
        call_s = timing.call_s(1 + len(step.reserved)) + TICKET_MARGIN_S
        needed_s = max(call_s, step.tickets_needed_until - now)
        fits = fits and not is_gang_with_reservations(step)
        renews_reserved = any(
            step.ticket_remaining_s(executor.executor_id, now) < needed_s
            for executor in allowed
            if executor.executor_id in step.reserved
        )
        renewals = []
        for executor in allowed:
            if executor.executor_id in step.reserved:
                if renews_reserved:
                    renewals.append(executor)
            elif (
                fits
                and step.ticket_remaining_s(executor.executor_id, now) < TICKET_MARGIN_S
                and executor.count_fitting_tasks(step.spec)
            ):
                renewals.append(executor)
        # With few nodes not all tickets are renewed at once; the first to expire come
        # first.
        renewals.sort(
            key=lambda executor: step.ticket_remaining_s(executor.executor_id, now)
        )
        return renewals

    async def call_policy(
        self, step: Step, queue: str, timing: PolicyTiming, executor_ids: list[str]
    ) -> None:
        """Query the policy service through one of the nodes and store the tickets."""
        now = anyio.current_time()
        self.decided_calls -= 1
        proxy = self.policy_proxies.choose(timing, len(executor_ids), now)
        expected_s = proxy.busy_until - now
        deadline = now + expected_s * CALL_TIMEOUT_FACTOR + CALL_TIMEOUT_MARGIN_S
        try:
            granted = await self.query_policy_proxy(
                proxy.name, step.name, executor_ids, deadline
            )
        except (PolicyUnavailable, PolicyBusy) as error:
            self.state.metrics.count("cell.advice.failed")
            failed_at = anyio.current_time()
            self.policy_proxies.record_failure(proxy, failed_at)
            log.info(
                "advice failed",
                step=step.name,
                node=proxy.name,
                error=str(error),
                node_waits_s=round(proxy.backoff_until - failed_at, 3),
            )
            step.next_policy_call_at = failed_at + CALL_RETRY_DELAY_S
            return
        finally:
            self.policy_proxies.finish(proxy, anyio.current_time())
            step.policy_calls_in_flight -= 1
            self.state.table.changed_steps[step] = None
            self.state.wake()
        self.policy_proxies.record_answer(proxy)
        self.state.metrics.count("cell.advice")
        log.info(
            "advice received",
            step=step.name,
            node=proxy.name,
            asked=len(executor_ids),
            allowed=len(granted),
            took_ms=round((anyio.current_time() - now) * 1000),
        )
        expires_at = anyio.current_time() + timing.valid_s
        self.answered[step] = None
        step.queried.update(executor_ids)
        self.shares.record_answer(queue, len(executor_ids), len(granted))
        for executor_id, value in granted:
            step.allowed.add(executor_id)
            step.tickets[executor_id] = Ticket(executor_id, value, expires_at)


def is_gang_with_reservations(step: Step) -> bool:
    """Return whether a step is a gang with reserved executors."""
    return step.spec.gang and bool(step.reserved)
