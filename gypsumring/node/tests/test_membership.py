"""Tests of the group membership of a process that is paused."""

import anyio

from gypsumring.node.membership import STARTUP_S, TAKEOVER_TTL_S, Membership
from gypsumring.ports.store import Assignment, StoreUnavailable
from gypsumring.utils.testing import make_load_tests, run_on_mock_clock

TTL_S = 1.0


class ScriptedOwner:
    """Owner that runs until it is stopped."""

    __slots__ = ("confirmations", "fence", "loaded", "stopped", "store_is_slow")

    def __init__(self, fence: int = 0):
        self.fence = fence
        self.loaded = True
        self.store_is_slow = False
        self.stopped = anyio.Event()
        self.confirmations = 0

    def confirm(self) -> None:
        """Count the confirmations that are asked for."""
        self.confirmations += 1

    def is_store_slow(self) -> bool:
        """Return whether the store is slow."""
        return self.store_is_slow

    async def run(self) -> None:
        """Run until cancelled."""
        try:
            await anyio.sleep_forever()
        finally:
            self.stopped.set()


class ScriptedStore:
    """Store that assigns the cell to every member, unless it is unavailable."""

    __slots__ = (
        "answer_s",
        "arrivals",
        "generation",
        "is_unavailable",
        "leave_count",
        "next_partitions",
        "partitions",
        "ttls_s",
    )

    def __init__(self):
        self.generation = 1
        self.leave_count = 0
        # Partitions in the answers to the next joins.
        self.next_partitions: list[frozenset[int]] = []
        self.is_unavailable = False
        # Time from the arrival of a join to its answer, and times of arrival.
        self.answer_s = 0.01
        self.arrivals: list[float] = []
        # Memberships that were asked for, in seconds.
        self.ttls_s: list[float] = []
        self.partitions = frozenset({0})

    async def join(self, group, member, topic, ttl_s, generation, deadline):
        """Return the assignment, or raise while the store is unavailable."""
        self.ttls_s.append(ttl_s)
        self.arrivals.append(anyio.current_time())
        if self.next_partitions:
            self.partitions = self.next_partitions.pop(0)
        assignment = Assignment(self.generation, self.partitions)
        await anyio.sleep(self.answer_s)
        if self.is_unavailable:
            raise StoreUnavailable("unavailable")
        return assignment

    async def leave(self, group, member, deadline):
        """Answer that the member has left."""
        self.leave_count += 1


class PausableClock:
    """Clock that includes the time while the process is paused."""

    __slots__ = ("paused_s",)

    def __init__(self):
        self.paused_s = 0.0

    def __call__(self) -> float:
        return anyio.current_time() + self.paused_s


async def run_checks(check) -> None:
    """Run a check concurrently with a membership that owns the cell."""
    store, clock = ScriptedStore(), PausableClock()
    membership = Membership(store, "g", "cells", 0, "n0", TTL_S, ScriptedOwner, clock)
    async with anyio.create_task_group() as group:
        group.start_soon(membership.run)
        await anyio.sleep(0.5)
        assert membership.is_recently_confirmed()
        await check(membership, store, clock)
        group.cancel_scope.cancel()


# An owner that had lost the cell and received it again, without work in between, did
# not notice that the log was fenced, and reported jobs of the other owner as unknown.
async def test_owner_is_confirmed_by_the_store_when_the_assignment_has_changed():
    async def check(membership, store, clock):
        owner = membership.active_owner()
        assert not owner.confirmations
        store.generation += 2
        await anyio.sleep(0.3)
        assert owner.confirmations == 1

    await run_checks(check)


# An owner that is cut off from the store alone went on answering as the owner, so that
# it did not vote for the next one.
async def test_owner_stops_once_a_later_one_has_announced_itself():
    async def check(membership, store, clock):
        owner = membership.active_owner()
        store.is_unavailable = True
        await membership.stop_superseded(owner.fence)
        assert membership.active_owner() is owner
        await membership.stop_superseded(owner.fence + 1)
        assert owner.stopped.is_set()
        assert membership.active_owner() is None

    await run_checks(check)


async def test_paused_owner_does_not_report_a_job_as_unknown():
    # Peers remove an unresponsive owner from the group before its membership expires.
    # The next owner may have accepted a job that the resumed owner has not recorded.
    async def check(membership, store, clock):
        assert membership.is_recently_confirmed()
        store.is_unavailable = True
        clock.paused_s += 0.5
        assert not membership.is_recently_confirmed()
        await anyio.sleep(0.2)
        assert not membership.is_recently_confirmed()
        store.is_unavailable = False
        await anyio.sleep(0.2)
        assert membership.is_recently_confirmed()

    await run_checks(check)


async def test_owner_that_loses_the_cell_is_stopped():
    async def check(membership, store, clock):
        assert membership.active_owner() is not None
        store.partitions = frozenset()
        await anyio.sleep(0.3)
        assert membership.active_owner() is None

    await run_checks(check)


# During a rolling restart with a slow store, each takeover took 1.2 s, in which no job
# was accepted and no end was recorded.
async def test_stopping_owner_stays_while_the_store_is_slow():
    async def check(membership, store, clock):
        owner = membership.owner
        owner.store_is_slow = True

        async def recover() -> None:
            await anyio.sleep(1.0)
            assert not owner.stopped.is_set()
            owner.store_is_slow = False

        began_at = anyio.current_time()
        async with anyio.create_task_group() as group:
            group.start_soon(recover)
            await membership.leave(began_at + 3.0)
        assert owner.stopped.is_set()
        assert 1.0 <= anyio.current_time() - began_at < 1.2

    await run_checks(check)


async def test_stopping_owner_leaves_at_its_deadline():
    async def check(membership, store, clock):
        membership.owner.store_is_slow = True
        began_at = anyio.current_time()
        await membership.leave(began_at + 3.0)
        assert 3.0 <= anyio.current_time() - began_at < 3.2
        assert membership.owner is None

    await run_checks(check)


async def test_stopping_owner_leaves_at_once_with_a_fast_store():
    async def check(membership, store, clock):
        began_at = anyio.current_time()
        await membership.leave(began_at + 3.0)
        assert anyio.current_time() - began_at < 0.2

    await run_checks(check)


# While a new owner read its records on a slow link, its joins came too late: the group
# gave the cell to the next node, which was as slow.
async def test_membership_lasts_longer_while_the_cell_is_read():
    store = ScriptedStore()
    owners = []

    def make_owner(fence):
        owners.append(ScriptedOwner())
        owners[-1].loaded = False
        return owners[-1]

    membership = Membership(store, "g", "cells", 0, "n0", TTL_S, make_owner)
    async with anyio.create_task_group() as group:
        membership.started_at -= STARTUP_S
        group.start_soon(membership.run)
        await anyio.sleep(0.03)
        # The first join only assigns the cell; the next one is sent at once.
        assert store.ttls_s[:2] == [TTL_S, TAKEOVER_TTL_S]
        store.partitions = frozenset()
        await anyio.sleep(0.3)
        assert store.ttls_s[-1] == TTL_S
        store.partitions = frozenset({0})
        await anyio.sleep(0.3)
        assert store.ttls_s[-1] == 2 * TAKEOVER_TTL_S
        owners[-1].loaded = True
        await anyio.sleep(0.3)
        assert store.ttls_s[-1] == TTL_S
        group.cancel_scope.cancel()


# On a congested link each join was given up before its answer came, and the next one
# had to wait for a new connection: the membership lapsed although the owner was alive.
async def test_membership_does_not_lapse_while_answers_are_late():
    async def check(membership, store, clock):
        store.answer_s = 0.9
        await anyio.sleep(10.0)
        assert membership.active_owner() is not None
        intervals = [
            later - earlier
            for earlier, later in zip(store.arrivals, store.arrivals[1:])
        ]
        assert all(interval < ttl_s for interval, ttl_s in zip(intervals, store.ttls_s))
        # Several joins in a row may get lost.
        assert store.ttls_s[-1] > 3 * store.answer_s

    await run_checks(check)


async def test_answers_that_arrive_out_of_order_are_ignored():
    async def check(membership, store, clock):
        owner = membership.active_owner()
        store.answer_s = 0.6
        store.partitions = frozenset()
        await anyio.sleep(0.15)
        store.answer_s = 0.01
        store.partitions = frozenset({0})
        await anyio.sleep(0.43)
        assert membership.applied_sent_at > clock() - 0.2
        await anyio.sleep(0.5)
        assert membership.active_owner() is owner

    await run_checks(check)


# Answers that arrived together were applied side by side: an owner was started and
# dropped without being stopped, and ran on under no one's control.
def test_answers_that_arrive_together_leave_no_owner_behind():
    async def check():
        store = ScriptedStore()
        store.next_partitions = [frozenset({0}), frozenset()] * 2
        owners = []

        def make_owner(fence):
            owners.append(ScriptedOwner())
            return owners[-1]

        membership = Membership(store, "g", "cells", 0, "n0", TTL_S, make_owner)
        async with anyio.create_task_group() as group:
            membership.group = group
            membership.is_member = True
            membership.started_at -= STARTUP_S
            for _ in range(4):
                group.start_soon(membership.renew, anyio.Event())
            await anyio.sleep(0.5)
            with anyio.fail_after(1.0):
                await membership.leave()
            assert all(owner.stopped.is_set() for owner in owners)
            group.cancel_scope.cancel()

    for seed in range(10):
        run_on_mock_clock(check, seed=seed)


async def test_answer_to_a_join_from_before_a_leave_starts_no_owner():
    async def check(membership, store, clock):
        store.answer_s = 0.3
        await anyio.sleep(0.15)
        left_before = store.leave_count
        await membership.leave()
        await anyio.sleep(0.5)
        assert membership.owner is None
        # The join may have reached the store after the leave.
        assert store.leave_count == left_before + 2

    await run_checks(check)


load_tests = make_load_tests(globals())
