"""Model of the rule by which owners of a cell extend leases and start tasks.

Nodes, executors and the store are state machines in one event loop, whose order
follows from a seed: messages are late, lost, doubled and overtake each other, links are
cut in one or both directions, processes pause, and start again as other incarnations.
Nodes use the real ``Authority``, ``VoteRegister`` and ``Electorate``; orders, polls and
the store are reduced to what the rule needs. Each part of the rule can be left out.
"""

import enum
import functools
import heapq
import itertools
import random
from collections.abc import Callable
from typing import Any
from unittest import mock

import logbook
import msgspec

from gypsumring.cell import authority as authority_module
from gypsumring.cell.authority import (
    MAX_EXTENSION_DELAY_S,
    MAX_UNCONFIRMED_S,
    OWNER_KEY,
    VOTERS_KEY,
    Authority,
    Peers,
)
from gypsumring.cell.voters import Electorate, Voter, VoteRegister

__all__ = [
    "STORE",
    "Faults",
    "Part",
    "World",
    "begin_takeover",
    "find_breaking_seed",
    "play",
]

LEASE_S = 2.0
CLOCK_DRIFT = 0.02
LEASE_MARGIN_S = 0.1
TICK_S = 0.15
PING_PERIOD_S = 0.25
POLL_PERIOD_S = 0.25
POLL_TIMEOUT_S = 0.4
COPY_INTERVAL_S = 0.2
ANNOUNCEMENT_PERIOD_S = 0.5
LINK_TIMEOUT_S = 0.7
JOIN_PERIOD_S = 0.4
ATTEMPTS_PER_FENCE = 1000
# The last message of a follower that the earlier rule still relied on.
MAX_CONTACT_AGE_S = 0.6
# Shorter than in the programs, so that a short run replaces voters several times.
LOST_VOTER_S = 1.5
TASKS = ("t0", "t1")
STORE = "store"
FAULTS_BEGIN_S = 2.0
FAULTS_END_S = 13.0
# Messages that are late arrive before this time.
QUIET_AT_S = 14.0
RUN_S = 23.0


class Part(enum.Enum):
    """Part of the rule that a run may leave out."""

    # A vote dates back to the message that it answers, not to its arrival.
    VOTE_DATE = enum.auto()
    # Votes of a restarted process do not count.
    INCARNATION = enum.auto()
    # Inherited leases are waited for since the earlier owners have no quorum, not
    # since the takeover.
    EXCLUSIVE_WAIT = enum.auto()
    # Quorums of the recorded voters and of those being recorded are needed.
    BOTH_QUORUMS = enum.auto()
    # An owner that has seen a later one does not vote for itself.
    OWN_VOTE = enum.auto()
    # Attempts are released after the expiry of a lease that this owner granted only
    # once a later append has been executed.
    RELEASE_APPEND = enum.auto()
    # The same for leases that earlier owners granted.
    INHERITED_RELEASE_APPEND = enum.auto()
    # The same for attempts on an executor that has ended.
    CRASH_APPEND = enum.auto()
    # The evidence is checked at the time from which the lease is counted.
    ONE_CLOCK_READING = enum.auto()
    # A task that may run on an executor that was not reached waits for that one.
    WITHHELD_TASKS = enum.auto()
    # Voters are recorded only once the earlier owners have no quorum.
    EXCLUSIVE_RECORD = enum.auto()
    # Votes alone suffice only for a time after the newest executed append.
    UNCONFIRMED_BOUND = enum.auto()
    # Voters that never answer are outlasted only with half of the executors.
    REACHED_EXECUTORS = enum.auto()
    # An executor that has started again counts only after a later append.
    CONFIRMED_INCARNATION = enum.auto()


class Faults:
    """Kinds of faults of a run; probabilities are those of one message."""

    __slots__ = (
        "check_pauses",
        "crashes",
        "cuts",
        "doubled",
        "forgets_fences",
        "held",
        "late",
        "lost",
        "moves",
        "outage",
        "partition",
        "pauses",
        "relinks",
        "restarts",
        "strangers",
        "takeovers",
    )

    def __init__(
        self,
        partition: bool = True,
        held: bool = True,
        late: float = 0.02,
        lost: float = 0.02,
        doubled: float = 0.03,
        cuts: int = 6,
        pauses: int = 4,
        restarts: int = 3,
        takeovers: int = 3,
        strangers: bool = True,
        relinks: bool = True,
        moves: int = 3,
        crashes: int = 0,
        forgets_fences: bool = False,
        outage: bool = False,
        check_pauses: float = 0.0,
    ):
        # Whether the owner is cut off from the store together with some nodes.
        self.partition = partition
        # Whether messages on a link that is cut may arrive when the cut ends.
        self.held = held
        self.late = late
        self.lost = lost
        self.doubled = doubled
        # Largest numbers of further cuts of links, of pauses and restarts of nodes, and
        # of takeovers that the store begins by itself.
        self.cuts = cuts
        self.pauses = pauses
        self.restarts = restarts
        self.takeovers = takeovers
        # Whether a node may start, or be out of touch, while another is replaced.
        self.strangers = strangers
        # Whether the two sides of a partition may reach each other for a while.
        self.relinks = relinks
        # Largest numbers of tasks that are moved or fail, and of crashes of executors.
        self.moves = moves
        self.crashes = crashes
        # Whether a crashed executor keeps its identity and forgets its fence number.
        self.forgets_fences = forgets_fences
        # Whether the store answers no node for a while.
        self.outage = outage
        # Probability of a pause between a check of the evidence and its use.
        self.check_pauses = check_pauses


class World:
    """Event loop, network and all participants of one run."""

    __slots__ = (
        "counter",
        "cuts",
        "events",
        "executors",
        "faults",
        "is_earlier_rule",
        "lapses",
        "nodes",
        "now",
        "omitted",
        "random",
        "store",
        "trace",
        "violations",
    )

    def __init__(
        self,
        seed: int,
        faults: Faults,
        omitted: Part | None = None,
        is_earlier_rule: bool = False,
        node_count: int = 0,
    ):
        self.now = 0.0
        self.random = random.Random(seed)
        self.faults = faults
        self.omitted = omitted
        # Whether owners follow the rule of commit 47889b8.
        self.is_earlier_rule = is_earlier_rule
        self.events: list[tuple[float, int, Callable[..., None], tuple]] = []
        self.counter = itertools.count()
        # End of the cut of a link and whether its messages are held, by direction.
        self.cuts: dict[tuple[str, str], tuple[float, bool]] = {}
        self.violations: list[str] = []
        # Times at which running tasks ended with their lease.
        self.lapses: list[float] = []
        self.trace: list[str] | None = None
        self.store = StoreModel(self)
        self.executors = {name: Executor(self, name) for name in ("e0", "e1", "e2")}
        count = node_count or self.random.randint(3, 5)
        self.nodes = {f"n{number}": Node(self, f"n{number}") for number in range(count)}

    def at(self, time: float, call: Callable[..., None], *args: Any) -> None:
        """Schedule a call."""
        heapq.heappush(self.events, (time, next(self.counter), call, args))

    def run(self, until: float) -> None:
        """Play until a time or the first violation."""
        while self.events and self.events[0][0] <= until and not self.violations:
            self.now, _, call, args = heapq.heappop(self.events)
            call(*args)

    def note(self, *words: Any) -> None:
        """Add a line to the trace, if there is one."""
        if self.trace is not None:
            self.trace.append(
                f"{self.now:8.3f} {' '.join(str(word) for word in words)}"
            )

    def send(
        self, source: str, target: str, deliver: Callable[..., None], *args: Any
    ) -> None:
        """Carry a message; it may be lost, held, late or doubled."""
        chance = self.random.random
        at = self.now + 0.002 + 0.03 * chance()
        cut = self.cuts.get((source, target))
        if cut is not None and self.now < cut[0]:
            if not cut[1]:
                return
            at = cut[0] + 0.05 * chance()
        if self.now < FAULTS_END_S:
            if chance() < self.faults.lost:
                return
            if chance() < self.faults.late:
                at = max(at, min(at + 6.0 * chance(), QUIET_AT_S))
            if chance() < self.faults.doubled:
                self.at(at + chance(), deliver, *args)
        self.at(at, deliver, *args)

    def cut(
        self, source: str, target: str, ends_at: float, is_held: bool = False
    ) -> None:
        """Cut a link in one direction, or prolong its cut."""
        before = self.cuts.get((source, target), (0.0, False))
        if before[0] < ends_at:
            self.cuts[source, target] = (min(ends_at, FAULTS_END_S), is_held)

    def find_owner(self) -> "Node | None":
        """Return the node that owns the cell under the highest fence number."""
        owners = [
            node
            for node in self.nodes.values()
            if node.process is not None and node.process.owner is not None
        ]
        return max(owners, key=lambda node: node.process.owner.fence, default=None)

    def check_start(self, executor: "Executor", task: str) -> None:
        """Record a violation if another run of a task goes on."""
        for other in self.executors.values():
            other.expire()
            if other.is_up and any(run == task for run, _ in other.running):
                self.violations.append(
                    f"{self.now:.3f} {task} starts on {executor.name}"
                    f" while it runs on {other.name}"
                )
                self.note("VIOLATION", self.violations[-1])

    def is_settled(self) -> bool:
        """Return whether an owner rules out earlier ones and each task runs once."""
        node = self.find_owner()
        if (
            node is None
            or node.process.owner.authority.exclusive_since > self.now + 1e6
        ):
            return False
        runs = []
        for executor in self.executors.values():
            executor.expire()
            runs += [task for task, _ in executor.running]
        return sorted(runs) == list(TASKS)


class StoreModel:
    """Log with fencing by epoch, and a group that assigns the cell."""

    __slots__ = ("epoch", "generation", "records", "sequence", "world")

    def __init__(self, world: World):
        self.world = world
        self.records: dict[str, bytes] = {}
        self.epoch = 0
        self.sequence = 0
        # Fence number of the node to which the cell was assigned last.
        self.generation = 0

    def handle_append(
        self, process: "Process", epoch: int, sequence: int, records: dict[str, bytes]
    ) -> None:
        """Execute an append once, unless a later epoch has fenced it."""
        is_fenced = epoch < self.epoch
        if epoch > self.epoch and sequence == 0:
            self.epoch, self.sequence = epoch, 0
            self.world.note(process, "has fenced the log with", epoch)
        if not is_fenced and sequence == self.sequence:
            self.records.update(records)
            self.sequence += 1
            self.world.note("executed for", process, epoch, sequence, list(records))
        if is_fenced or sequence < self.sequence:
            process.reply_from(
                STORE, process.handle_appended, epoch, sequence, is_fenced
            )

    def handle_read(self, process: "Process", epoch: int) -> None:
        """Return the records."""
        process.reply_from(STORE, process.handle_records, epoch, dict(self.records))

    def handle_join(self, process: "Process") -> None:
        """Assign the cell to a node."""
        self.generation += 1
        process.reply_from(STORE, process.handle_assigned, self.generation)

    def handle_renewal(self, process: "Process", fence: int, sent_at: float) -> None:
        """Confirm a node to which the cell is still assigned."""
        if fence == self.generation:
            process.reply_from(STORE, process.handle_renewed, fence, sent_at)


class Executor:
    """Executor that runs tasks until its lease ends on its own slow clock."""

    __slots__ = (
        "born",
        "ended",
        "fence",
        "highest_attempts",
        "identity",
        "is_up",
        "lease_until",
        "name",
        "offset",
        "rate",
        "running",
        "world",
    )

    def __init__(self, world: World, name: str):
        self.world = world
        self.name = name
        self.rate = 1.0 - CLOCK_DRIFT * world.random.choice([0.0, 0.5, 1.0])
        self.offset = 100.0 * world.random.random()
        # Identity that orders name, and number of the process.
        self.identity = 0
        self.born = 0
        self.start()

    def start(self) -> None:
        """Start without tasks and without a fence number."""
        self.is_up = True
        self.fence = 0
        self.lease_until = 0.0
        self.running: list[tuple[str, int]] = []
        self.ended: list[tuple[str, int]] = []
        self.highest_attempts: dict[str, int] = {}

    def crash(self) -> None:
        """End with all tasks, and start again soon."""
        if not self.is_up:
            return
        self.world.note(self.name, "crashes with", self.running)
        self.is_up = False
        self.running = []
        self.born += 1
        if not self.world.faults.forgets_fences:
            self.identity += 1
        self.world.at(self.world.now + 0.1 + self.world.random.random(), self.start)

    def clock(self) -> float:
        """Return the time on the clock of this executor."""
        return self.offset + self.rate * self.world.now

    def expire(self) -> None:
        """End all tasks if the lease has ended."""
        if self.running and self.clock() >= self.lease_until:
            # The time at which the lease ended is not needed exactly.
            self.world.lapses.append(self.world.now)
            self.world.note(self.name, "lapses", self.running)
            self.ended += self.running
            self.running = []

    def end_one(self) -> None:
        """Let one task fail."""
        self.expire()
        if self.running:
            self.ended.append(self.running.pop())

    def accepts(self, process: "Process", fence: int, identity: int) -> bool:
        """Return whether an order is executed; answer it if not."""
        if not self.is_up:
            return False
        self.expire()
        if identity != self.identity:
            process.reply_from(
                self.name, process.handle_gone, fence, self.name, self.identity
            )
            return False
        if fence < self.fence:
            process.reply_from(self.name, process.handle_refused, fence)
            return False
        self.fence = fence
        return True

    def handle_start(
        self,
        process: "Process",
        fence: int,
        identity: int,
        task: str,
        attempt: int,
        lease_until: float,
    ) -> None:
        """Start an attempt unless the order is old or its lease has ended."""
        if not self.accepts(process, fence, identity):
            return
        run = (task, attempt)
        if self.clock() >= lease_until:
            return
        if run not in self.running:
            if attempt <= self.highest_attempts.get(task, 0):
                self.answer(process, fence, "old", run)
                return
            self.world.note(self.name, "starts", run, "for", process)
            self.world.check_start(self, task)
            self.highest_attempts[task] = attempt
            self.running.append(run)
        self.lease_until = max(self.lease_until, lease_until)
        self.answer(process, fence, "started", run)

    def handle_stop(
        self, process: "Process", fence: int, identity: int, task: str, attempt: int
    ) -> None:
        """Stop an attempt and refuse it from now on."""
        if not self.accepts(process, fence, identity):
            return
        self.highest_attempts[task] = max(attempt, self.highest_attempts.get(task, 0))
        if (task, attempt) in self.running:
            self.running.remove((task, attempt))
            self.ended.append((task, attempt))

    def handle_hold(
        self,
        process: "Process",
        fence: int,
        identity: int,
        lease_until: float | None,
        requested_at: float,
    ) -> None:
        """Extend the lease and return the lists."""
        if not self.accepts(process, fence, identity):
            return
        if lease_until is not None:
            self.lease_until = max(self.lease_until, lease_until)
        process.reply_from(
            self.name,
            process.handle_lists,
            fence,
            self.name,
            (self.identity, self.born),
            requested_at,
            self.clock(),
            list(self.running),
            list(self.ended),
        )

    def answer(
        self, process: "Process", fence: int, outcome: str, run: tuple[str, int]
    ) -> None:
        """Answer a start."""
        process.reply_from(
            self.name, process.handle_start_answer, fence, self.name, outcome, run
        )


class Node:
    """Machine on which processes of a node run one after the other."""

    __slots__ = ("name", "number", "process", "world")

    def __init__(self, world: World, name: str):
        self.world = world
        self.name = name
        self.number = 0
        self.process: Process | None = None

    def start(self) -> None:
        """Start a process unless one runs."""
        if self.process is None:
            self.number += 1
            self.process = Process(self.world, self, self.number)
            self.world.note(self.process, "starts")

    def kill(self) -> None:
        """End the process."""
        if self.process is not None:
            self.world.note(self.process, "is killed")
            self.process.is_alive = False
            self.process = None

    def receive(
        self, incarnation: int | None, method: Callable[..., None], *args: Any
    ) -> None:
        """Pass a message to the process, if it is the one addressed."""
        process = self.process
        if process is not None and incarnation in (None, process.incarnation):
            process.do(method, process, *args)


class Process:
    """Process of a node: follower, candidate and owner."""

    __slots__ = (
        "contacts",
        "echoed_at",
        "followers",
        "heard_at",
        "inbox",
        "incarnation",
        "is_alive",
        "joined_at",
        "leader",
        "node",
        "offset",
        "owner",
        "paused_until",
        "seen",
        "voter",
        "votes",
        "world",
    )

    def __init__(self, world: World, node: Node, incarnation: int):
        self.world = world
        self.node = node
        self.incarnation = incarnation
        named = "" if world.omitted is Part.INCARNATION else str(incarnation)
        self.voter = Voter(node.name, named)
        self.offset = 1000.0 * (1 + int(node.name[1:]))
        self.is_alive = True
        self.paused_until = 0.0
        self.inbox: list[tuple[Callable[..., None], tuple]] = []
        # Highest fence number seen.
        self.seen = 0
        # Node and incarnation of the owner that is followed, when it has answered last,
        # and the time, on its clock, at which it has sent that answer.
        self.leader: tuple[str, int] | None = None
        self.heard_at = world.now
        self.echoed_at: float | None = None
        self.joined_at = world.now
        self.owner: Owner | None = None
        self.votes = (
            ArrivalRegister(self.clock)
            if world.omitted is Part.VOTE_DATE
            else VoteRegister()
        )
        # Followers and when they were heard, and the same by node.
        self.followers: dict[str, tuple[Voter, float]] = {}
        self.contacts: dict[str, float] = {}
        self.repeat(PING_PERIOD_S, self.ping)
        self.repeat(TICK_S, self.act)

    def __str__(self) -> str:
        return f"{self.node.name}.{self.incarnation}"

    def clock(self) -> float:
        """Return the time on the clock of this node."""
        return self.world.now + self.offset

    def repeat(self, period_s: float, call: Callable[[], None]) -> None:
        """Call a method periodically while the process is alive."""

        def tick() -> None:
            call()
            self.repeat(period_s, call)

        due_at = self.world.now + period_s * (0.9 + 0.2 * self.world.random.random())
        self.world.at(due_at, self.do, tick)

    def do(self, call: Callable[..., None], *args: Any) -> None:
        """Call now, or after the pause of the process."""
        if not self.is_alive:
            return
        if self.world.now < self.paused_until:
            self.inbox.append((call, args))
            return
        call(*args)

    def pause(self, seconds: float) -> None:
        """Pause; messages and timers wait."""
        self.paused_until = max(self.paused_until, self.world.now + seconds)
        self.world.note(self, "is paused until", round(self.paused_until, 3))
        self.world.at(self.paused_until, self.resume)

    def resume(self) -> None:
        """Handle what has waited, in any order of timers and messages."""
        if self.world.now < self.paused_until or not self.is_alive:
            return
        inbox, self.inbox = self.inbox, []
        if self.world.random.random() < 0.5:
            self.world.random.shuffle(inbox)
        for call, args in inbox:
            self.do(call, *args)

    def reply_from(self, source: str, call: Callable[..., None], *args: Any) -> None:
        """Send a message of the store or of an executor to this process."""
        self.world.send(source, self.node.name, self.do, call, *args)

    def tell(
        self,
        node: str,
        incarnation: int | None,
        method: Callable[..., None],
        *args: Any,
    ) -> None:
        """Send a message to a process of another node."""
        receive = self.world.nodes[node].receive
        self.world.send(self.node.name, node, receive, incarnation, method, *args)

    def ask_store(self, call: Callable[..., None], *args: Any) -> None:
        """Send a request to the store."""
        self.world.send(self.node.name, STORE, call, self, *args)

    def ping(self) -> None:
        """Vote for the owner that is followed, or look for one."""
        world = self.world
        if self.leader is not None and world.now - self.heard_at > LINK_TIMEOUT_S:
            self.leader = None
        if self.leader is not None:
            vote = None if self.echoed_at is None else (self.seen, self.echoed_at)
            self.tell(*self.leader, Process.handle_ping, self.voter, str(self), vote)
        elif self.owner is None:
            others = [name for name in world.nodes if name != self.node.name]
            other = world.random.choice(others)
            self.tell(other, None, Process.handle_ping, self.voter, str(self), None)
            unlinked_s = min(world.now - self.heard_at, world.now - self.joined_at)
            if unlinked_s > LINK_TIMEOUT_S + world.random.random():
                self.join()

    def join(self) -> None:
        """Ask the store for the cell."""
        self.joined_at = self.world.now
        self.ask_store(self.world.store.handle_join)

    def handle_ping(
        self, voter: Voter, sender: str, vote: tuple[int, float] | None
    ) -> None:
        """Record a follower and its vote, and answer."""
        if vote is not None:
            self.votes.record(voter.node, voter.incarnation, *vote)
        now = self.clock()
        self.followers[voter.node] = (voter, now)
        self.contacts[voter.node] = now
        owner = self.owner
        is_owner = owner is not None and owner.is_loaded
        name, incarnation = sender.split(".")
        self.tell(
            name,
            int(incarnation),
            Process.handle_pong,
            (self.node.name, self.incarnation),
            owner.fence if is_owner else 0,
            now,
        )

    def handle_pong(self, sender: tuple[str, int], fence: int, sent_at: float) -> None:
        """Follow an owner that answers; ``fence`` is 0 if the sender owns nothing."""
        if fence and fence >= self.seen:
            self.seen = fence
            self.follow(sender)
            self.echoed_at = sent_at
        elif sender == self.leader:
            self.leader = None

    def follow(self, sender: tuple[str, int]) -> None:
        """Note that an owner was heard, and follow it."""
        if self.leader != sender:
            self.leader, self.echoed_at = sender, None
        self.heard_at = self.world.now

    def handle_announcement(self, sender: tuple[str, int], fence: int) -> None:
        """Turn to an owner with a higher fence number than any before."""
        if fence > self.seen:
            self.seen = fence
            self.follow(sender)
            self.ping()

    def handle_assigned(self, fence: int) -> None:
        """Take the cell over."""
        is_later = self.owner is None or fence > self.owner.fence
        if fence <= self.seen or not is_later:
            return
        # From now on this node votes for no earlier owner.
        self.seen = fence
        self.leader = None
        self.world.note(self, "takes over with", fence)
        self.owner = Owner(self, fence)

    def resign(self, fence: int) -> None:
        """Give the cell up, as another node has fenced it."""
        if self.owner is not None and self.owner.fence == fence:
            self.world.note(self, "gives up", fence)
            self.owner = None
            self.heard_at = self.world.now

    def act(self) -> None:
        """Let the owner do what is due."""
        if self.owner is not None:
            self.owner.act()

    def list_followers(self) -> list[Voter]:
        """Return the processes that have sent pings recently."""
        earliest = self.clock() - 2.0
        return [voter for voter, at in self.followers.values() if at >= earliest]

    def current(self, fence: int) -> "Owner | None":
        """Return the owner under a fence number unless it has ended."""
        owner = self.owner
        return owner if owner is not None and owner.fence == fence else None

    def handle_appended(self, epoch: int, sequence: int, is_fenced: bool) -> None:
        """Pass the answer to an append on."""
        if is_fenced:
            self.resign(epoch)
        elif (owner := self.current(epoch)) is not None:
            owner.journal.handle_executed(sequence)

    def handle_records(self, epoch: int, records: dict[str, bytes]) -> None:
        """Pass the records on."""
        owner = self.current(epoch)
        if owner is not None and not owner.is_loaded:
            owner.load(records)

    def handle_renewed(self, fence: int, sent_at: float) -> None:
        """Record that the group has confirmed the assignment."""
        owner = self.current(fence)
        if owner is not None:
            owner.joined_at = max(owner.joined_at, sent_at)

    def handle_refused(self, fence: int) -> None:
        """Handle the refusal of an executor that has seen a later owner."""
        self.resign(fence)

    def handle_gone(self, fence: int, executor: str, identity: int) -> None:
        """Handle the answer of another executor at the address of the one named."""
        if (owner := self.current(fence)) is not None:
            owner.handle_gone(executor, identity)

    def handle_lists(self, fence: int, *args: Any) -> None:
        """Pass the lists of an executor on."""
        if (owner := self.current(fence)) is not None:
            owner.handle_lists(*args)

    def handle_start_answer(self, fence: int, *args: Any) -> None:
        """Pass the answer to a start on."""
        if (owner := self.current(fence)) is not None:
            owner.handle_start_answer(*args)


class ArrivalRegister(VoteRegister):
    """Register that dates votes by their arrival."""

    __slots__ = ("clock",)

    def __init__(self, clock: Callable[[], float]):
        super().__init__()
        self.clock = clock

    def record(
        self, node: str, incarnation: str, fence: int, answers_sent_at: float
    ) -> None:
        """Record a vote as if it had been sent now."""
        super().record(node, incarnation, fence, self.clock())


class OneQuorumAuthority(Authority):
    """Authority that ignores the voters that are being recorded."""

    __slots__ = ()

    def quorum_at(self) -> float:
        """Return the time to which the votes of the durable voters date back."""
        if self.durable is None:
            return float("-inf")
        return self.quorum_of(self.durable)


class SelfishAuthority(Authority):
    """Authority whose node votes for itself whatever it has seen."""

    __slots__ = ()

    def voted_at(self, voter: Voter) -> float:
        """Return the time to which a vote dates back, -inf without one."""
        if voter.key == self.peers.voter.key:
            return self.clock()
        return super().voted_at(voter)


class UnboundedAuthority(Authority):
    """Authority whose owner relies on votes without the store for ever."""

    __slots__ = ()

    def may_rely_on_votes(self, now: float) -> bool:
        """Return True."""
        return True


class UnwitnessedAuthority(Authority):
    """Authority that outlasts lost voters whatever executors have answered."""

    __slots__ = ()

    def has_outlasted_votes(self, now: float) -> bool:
        """Return whether earlier owners may not rely on votes alone any more."""
        outlasted_s = now - self.taken_over_at
        return self.has_confirmed_records() and outlasted_s > 1.04 * MAX_UNCONFIRMED_S


class HastyAuthority(Authority):
    """Authority that records its voters before earlier owners have lost theirs."""

    __slots__ = ()

    def update(self) -> None:
        """Record other voters at once."""
        super().update()
        if self.pending is None and not self.journal.unanswered_s():
            now = self.clock()
            self.record_voters(self.choose_voters(now), now)


class ContactAuthority(Authority):
    """Rule of commit 47889b8: what all nodes do that followed at the last join."""

    __slots__ = ("owner",)

    def may_extend_leases(self, now: float) -> bool:
        """Return whether a join is recent, or all followers of that time still ping."""
        joined_at = self.owner.joined_at
        if now - joined_at <= MAX_EXTENSION_DELAY_S:
            return True
        contacts = self.owner.process.contacts.values()
        times = [at for at in contacts if at >= joined_at - MAX_CONTACT_AGE_S]
        return bool(times) and now - min(times) <= MAX_CONTACT_AGE_S

    def has_taken_over_votes(self) -> bool:
        """Return True: earlier owners are ruled out from the takeover on."""
        return True

    def record_voters(self, voters: list[Voter], now: float) -> None:
        """Record nothing."""


class ModelJournal:
    """Journal of one owner: one append in flight, repeated until it is answered."""

    __slots__ = (
        "confirmed_at",
        "copied_at",
        "in_flight",
        "owner",
        "queue",
        "sent_at",
        "sequence",
    )

    def __init__(self, owner: "Owner"):
        self.owner = owner
        self.queue: dict[str, tuple[bytes, list[Callable[[], None]]]] = {}
        self.in_flight: dict[str, tuple[bytes, list[Callable[[], None]]]] = {}
        self.sequence = 0
        self.sent_at = 0.0
        self.copied_at = 0.0
        self.confirmed_at = float("-inf")

    def put(
        self,
        key: str,
        value: bytes,
        on_durable: Callable[[], None] | None = None,
        urgent: bool = True,
    ) -> None:
        """Queue a record."""
        callbacks = self.queue.get(key, (b"", []))[1]
        self.queue[key] = (value, callbacks + ([on_durable] if on_durable else []))
        self.send()

    def unanswered_s(self) -> float:
        """Return for how long the append in flight has been repeated."""
        if not self.in_flight:
            return 0.0
        waited_s = self.owner.process.clock() - self.sent_at
        return waited_s if waited_s >= COPY_INTERVAL_S else 0.0

    def send(self) -> None:
        """Begin the next append, or repeat the one in flight."""
        now = self.owner.process.clock()
        if not self.in_flight:
            if not self.queue:
                return
            self.in_flight, self.queue = self.queue, {}
            self.sent_at = now
        elif now - self.copied_at < COPY_INTERVAL_S:
            return
        self.copied_at = now
        process = self.owner.process
        process.ask_store(
            process.world.store.handle_append,
            self.owner.fence,
            self.sequence,
            {key: value for key, (value, _) in self.in_flight.items()},
        )

    def handle_executed(self, sequence: int) -> None:
        """Handle the answer to an append."""
        if sequence != self.sequence or not self.in_flight:
            return
        self.confirmed_at = self.sent_at
        self.sequence += 1
        executed, self.in_flight = self.in_flight, {}
        for _, callbacks in executed.values():
            for on_durable in callbacks:
                on_durable()
        self.send()


class Attempt:
    """Attempt of a task on an executor, as its owner knows it."""

    __slots__ = (
        "answered_at",
        "executor",
        "is_lost",
        "is_stopping",
        "number",
        "sent_at",
    )

    def __init__(self, executor: str, number: int):
        self.executor = executor
        self.number = number
        self.sent_at = float("-inf")
        self.answered_at: float | None = None
        self.is_stopping = False
        # Set if the executor has started again since.
        self.is_lost = False


class View:
    """Executor as an owner knows it."""

    __slots__ = (
        "born",
        "clock",
        "clock_read_at",
        "has_ended",
        "identity",
        "is_enrolled",
        "is_reached",
        "is_release_pending",
        "is_silent",
        "is_unconfirmed",
        "lease_until",
        "polled_at",
        "tracked_since",
        "waits_since",
    )

    def __init__(self, identity: int, now: float, is_enrolled: bool):
        self.identity = identity
        self.born: int | None = None
        self.tracked_since = now
        self.is_enrolled = is_enrolled
        self.is_reached = False
        self.is_silent = False
        self.is_release_pending = False
        # Set until the store confirms the owner after the first answer.
        self.is_unconfirmed = True
        self.has_ended = False
        self.clock = 0.0
        self.clock_read_at = 0.0
        self.lease_until = 0.0
        self.polled_at = float("-inf")
        # Send time of the first poll that has not been answered.
        self.waits_since: float | None = None

    def min_clock(self, now: float) -> float:
        """Return a lower bound of the clock of the executor."""
        return self.clock + (now - self.clock_read_at) * (1 - CLOCK_DRIFT)


class Owner:
    """Owner of the cell under one fence number."""

    __slots__ = (
        "announced_at",
        "attempts",
        "authority",
        "fence",
        "is_loaded",
        "joined_at",
        "journal",
        "next_attempt",
        "pending",
        "process",
        "renewed_at",
        "uncertain",
        "unreconciled",
        "views",
        "world",
    )

    def __init__(self, process: Process, fence: int):
        self.process = process
        self.world = process.world
        self.fence = fence
        self.is_loaded = False
        self.journal = ModelJournal(self)
        peers = Peers(
            process.voter,
            process.votes,
            lambda: process.seen,
            process.list_followers,
            lambda: True,
        )
        self.authority = self.make_authority(peers)
        # When the group has confirmed this owner, for the earlier rule.
        self.joined_at = process.clock()
        self.renewed_at = process.clock()
        self.announced_at = float("-inf")
        self.views: dict[str, View] = {}
        self.attempts: dict[str, Attempt] = {}
        self.pending: set[str] = set()
        # Tasks that may run on executors of earlier owners that were not reached.
        self.uncertain: set[str] = set()
        self.unreconciled: set[str] = set()
        self.next_attempt = fence * ATTEMPTS_PER_FENCE
        self.journal.put(OWNER_KEY, b"", self.read)

    def make_authority(self, peers: Peers) -> Authority:
        """Return the authority of the rule that is played."""
        make: type[Authority] = Authority
        if self.world.is_earlier_rule:
            make = ContactAuthority
        else:
            match self.world.omitted:
                case Part.BOTH_QUORUMS:
                    make = OneQuorumAuthority
                case Part.OWN_VOTE:
                    make = SelfishAuthority
                case Part.EXCLUSIVE_RECORD:
                    make = HastyAuthority
                case Part.UNCONFIRMED_BOUND:
                    make = UnboundedAuthority
                case Part.REACHED_EXECUTORS:
                    make = UnwitnessedAuthority
        authority = make(self.fence, self.journal, peers, self.process.clock)
        if isinstance(authority, ContactAuthority):
            authority.owner = self
        return authority

    def read(self) -> None:
        """Read the records, after the log was fenced."""
        self.process.ask_store(self.world.store.handle_read, self.fence)

    def load(self, records: dict[str, bytes]) -> None:
        """Begin to own the cell with what earlier owners have recorded."""
        self.is_loaded = True
        value = records.get(VOTERS_KEY)
        self.authority.restore(
            None if value is None else msgspec.json.decode(value, type=Electorate),
            [name for name in self.world.executors if f"executor {name}" in records],
            not self.world.is_earlier_rule,
        )
        self.journal.put("term", b"")
        now = self.process.clock()
        for name in self.world.executors:
            recorded = records.get(f"executor {name}")
            if recorded is not None:
                self.views[name] = View(int(recorded), now, True)
                self.unreconciled.add(name)
        self.authority.on_exclusive = self.enroll_new
        if self.authority.may_add_executors():
            self.enroll_new()
        for task in TASKS:
            key = f"task {task}"
            if key not in records:
                # A task is accepted, and may start, once it is recorded.
                self.journal.put(key, b"", functools.partial(self.pending.add, task))
                continue
            self.pending.add(task)
            if self.unreconciled and self.world.omitted is not Part.WITHHELD_TASKS:
                self.uncertain.add(task)
        self.world.note(
            self.process, "has read; voters", value, "uncertain", sorted(self.uncertain)
        )
        for name in self.world.nodes:
            self.announce(name)

    def announce(self, node: str) -> None:
        """Announce this owner to another node."""
        process = self.process
        if node != process.node.name:
            sender = (process.node.name, process.incarnation)
            process.tell(node, None, Process.handle_announcement, sender, self.fence)

    def enroll_new(self) -> None:
        """Use the executors that no earlier owner has recorded."""
        for name in self.world.executors:
            if name not in self.views:
                self.enroll(name, 0)

    def enroll(self, name: str, identity: int) -> None:
        """Use an executor once it is recorded for the next owners."""
        view = self.views[name] = View(identity, self.process.clock(), False)
        self.authority.executors.begin_change(name)

        def mark_enrolled() -> None:
            view.is_enrolled = True
            self.authority.executors.end_change(name, True)

        self.journal.put(f"executor {name}", str(identity).encode(), mark_enrolled)

    def act(self) -> None:
        """Do what is due."""
        self.journal.send()
        if not self.is_loaded:
            if self.journal.sequence:
                self.read()
            return
        now = self.process.clock()
        self.authority.update()
        if now - self.announced_at > ANNOUNCEMENT_PERIOD_S:
            self.announced_at = now
            for voter in self.authority.list_missing_voters():
                self.announce(voter.node)
        if self.world.is_earlier_rule and now - self.renewed_at > JOIN_PERIOD_S:
            self.renewed_at = now
            self.process.ask_store(self.world.store.handle_renewal, self.fence, now)
        for name, view in self.views.items():
            waits_since = view.waits_since
            if waits_since is not None and now - waits_since > POLL_TIMEOUT_S:
                view.is_silent = True
                self.check_lease(name, view)
            if now - view.polled_at > POLL_PERIOD_S:
                self.poll(name, view, now)
        for task, attempt in list(self.attempts.items()):
            self.repeat_order(task, attempt, now)
        for task in sorted(self.pending - self.uncertain):
            self.place(task)

    def order(self, name: str, deliver: Callable[..., None], *args: Any) -> None:
        """Send an order to an executor, after the pause if there is one."""
        process = self.process
        identity = self.views[name].identity
        order = (name, deliver, process, self.fence, identity, *args)
        sent_at = max(self.world.now, process.paused_until)
        self.world.at(sent_at, self.world.send, process.node.name, *order)

    def extend_lease(self, view: View) -> float | None:
        """Return the end of a lease that may be granted now, None without evidence.

        The process may be paused between the check and the sending of the order. The
        lease counts from the check.
        """
        if not view.is_reached or view.is_silent:
            return None
        checked_at = self.process.clock()
        if not self.authority.may_extend_leases(checked_at):
            return None
        counted_at = checked_at
        if self.world.random.random() < self.world.faults.check_pauses:
            self.process.pause(3.0 * self.world.random.random())
            if self.world.omitted is Part.ONE_CLOCK_READING:
                counted_at += self.process.paused_until - self.world.now
        lease_until = view.min_clock(counted_at) + LEASE_S
        view.lease_until = max(view.lease_until, lease_until)
        return lease_until

    def poll(self, name: str, view: View, now: float) -> None:
        """Request the lists of an executor and extend its lease."""
        if not view.is_enrolled:
            return
        view.polled_at = now
        if view.waits_since is None:
            view.waits_since = now
        hold = self.world.executors[name].handle_hold
        self.order(name, hold, self.extend_lease(view), now)

    def is_expired(self, view: View) -> bool:
        """Return whether all tasks of a silent executor have ended with its lease."""
        now = self.process.clock()
        if view.is_reached:
            return view.min_clock(now) > view.lease_until + LEASE_MARGIN_S
        since = self.authority.exclusive_since
        if self.world.omitted is Part.EXCLUSIVE_WAIT:
            since = self.authority.taken_over_at
        longest_s = (LEASE_S + MAX_EXTENSION_DELAY_S) * (1 + 2 * CLOCK_DRIFT)
        return now >= max(view.tracked_since, since) + longest_s + LEASE_MARGIN_S

    def check_lease(self, name: str, view: View) -> None:
        """Release the attempts on a silent executor once its lease has expired."""
        has_attempts = name in self.unreconciled or any(
            attempt.executor == name for attempt in self.attempts.values()
        )
        if view.is_release_pending or not has_attempts or not self.is_expired(view):
            return
        unconfirmed = (
            Part.RELEASE_APPEND if view.is_reached else Part.INHERITED_RELEASE_APPEND
        )
        if self.world.omitted is unconfirmed:
            self.release_expired(name, view)
            return
        view.is_release_pending = True
        self.authority.confirm(lambda: self.release_expired(name, view))

    def release_expired(self, name: str, view: View) -> None:
        """Release the attempts on an executor unless it has answered meanwhile."""
        view.is_release_pending = False
        is_same = self.views.get(name) is view
        if is_same and view.is_silent and self.is_expired(view):
            self.world.note(self.process, "takes the leases of", name, "for expired")
            self.release_all(name)

    def release_all(self, name: str) -> None:
        """Release all attempts on an executor."""
        for task, attempt in list(self.attempts.items()):
            if attempt.executor == name:
                self.release(task)
        self.reconcile(name)

    def reconcile(self, name: str) -> None:
        """Note that no attempt of earlier owners is unknown on an executor any more."""
        self.unreconciled.discard(name)
        if not self.unreconciled:
            self.uncertain.clear()

    def release(self, task: str) -> None:
        """Let a task start again."""
        attempt = self.attempts.pop(task)
        self.pending.add(task)
        self.world.note(
            self.process, "releases", task, attempt.number, "on", attempt.executor
        )

    def place(self, task: str) -> None:
        """Start a task on an executor that answers."""
        usable = [
            name
            for name, view in sorted(self.views.items())
            if view.is_enrolled and view.is_reached and not view.is_silent
        ]
        now = self.process.clock()
        if not usable or not self.authority.may_extend_leases(now):
            return
        self.pending.discard(task)
        self.next_attempt += 1
        name = self.world.random.choice(usable)
        attempt = self.attempts[task] = Attempt(name, self.next_attempt)
        self.repeat_order(task, attempt, now)

    def repeat_order(self, task: str, attempt: Attempt, now: float) -> None:
        """Send a start or a stop again that is not answered."""
        if now - attempt.sent_at <= POLL_TIMEOUT_S or attempt.is_lost:
            return
        executor = self.world.executors[attempt.executor]
        view = self.views[attempt.executor]
        if attempt.is_stopping:
            attempt.sent_at = now
            self.order(executor.name, executor.handle_stop, task, attempt.number)
        elif attempt.answered_at is None:
            lease_until = self.extend_lease(view)
            if lease_until is not None:
                attempt.sent_at = now
                self.order(
                    executor.name,
                    executor.handle_start,
                    task,
                    attempt.number,
                    lease_until,
                )

    def stop_one(self) -> None:
        """Move a task: stop its attempt, so that it starts again elsewhere."""
        for task in sorted(self.attempts):
            attempt = self.attempts[task]
            if attempt.answered_at is not None and not attempt.is_stopping:
                attempt.is_stopping = True
                attempt.sent_at = float("-inf")
                return

    def handle_gone(self, name: str, identity: int) -> None:
        """Release the attempts of an executor that has ended; use its successor."""
        view = self.views[name]
        if identity <= view.identity or view.has_ended:
            return
        self.world.note(self.process, "finds that", name, "has ended")
        view.has_ended = True

        def replace() -> None:
            self.release_all(name)
            self.enroll(name, identity)

        self.confirm_end(replace)

    def confirm_end(self, release: Callable[[], None]) -> None:
        """Release attempts that have ended with their executor.

        The executor may have ended, and the attempts started elsewhere, under another
        owner.
        """
        if self.world.omitted is Part.CRASH_APPEND:
            release()
        else:
            self.authority.confirm(release)

    def handle_start_answer(
        self, name: str, outcome: str, run: tuple[str, int]
    ) -> None:
        """Record that an attempt has started or cannot start."""
        task, number = run
        attempt = self.attempts.get(task)
        if attempt is None or attempt.number != number or attempt.executor != name:
            return
        if outcome == "started":
            attempt.answered_at = self.process.clock()
        elif attempt.answered_at is None:
            self.release(task)

    def handle_lists(
        self,
        name: str,
        incarnation: tuple[int, int],
        requested_at: float,
        clock: float,
        running: list[tuple[str, int]],
        ended: list[tuple[str, int]],
    ) -> None:
        """Adopt, keep or release attempts by the lists of an executor."""
        view = self.views[name]
        identity, born = incarnation
        if identity != view.identity or requested_at < view.tracked_since:
            return
        is_first = not view.is_reached
        view.is_reached = True
        view.is_silent = False
        view.waits_since = None
        if view.born is not None and born > view.born:
            view.clock = 0.0
            view.lease_until = clock + LEASE_S
            self.release_lost(name, requested_at, running)
        elif view.born is not None and born < view.born:
            return
        if born != view.born:
            self.confirm_incarnation(view, born)
        view.born = born
        self.authority.executors.record_answer(
            name, requested_at, self.process.clock(), not view.is_unconfirmed
        )
        if clock >= view.clock:
            view.clock, view.clock_read_at = clock, self.process.clock()
        if is_first:
            view.lease_until = clock + LEASE_S + MAX_EXTENSION_DELAY_S
        for task, number in running:
            attempt = self.attempts.get(task)
            is_known = attempt is not None and attempt.number == number
            if is_known and attempt.executor == name:
                attempt.answered_at = attempt.answered_at or self.process.clock()
            elif name in self.unreconciled and attempt is None:
                self.adopt(task, name, number)
            else:
                stop = self.world.executors[name].handle_stop
                self.order(name, stop, task, number)
        for task, attempt in list(self.attempts.items()):
            run = (task, attempt.number)
            if attempt.executor != name or run in running or attempt.is_lost:
                continue
            answered_at = attempt.answered_at
            is_absent = answered_at is not None and answered_at < requested_at
            if run in ended or is_absent:
                self.release(task)
        self.reconcile(name)

    def confirm_incarnation(self, view: View, born: int) -> None:
        """Let the store confirm the owner before an incarnation is its witness."""
        view.is_unconfirmed = self.world.omitted is not Part.CONFIRMED_INCARNATION

        def apply_confirmation() -> None:
            if view.born == born:
                view.is_unconfirmed = False

        self.authority.confirm(apply_confirmation)

    def release_lost(
        self, name: str, requested_at: float, running: list[tuple[str, int]]
    ) -> None:
        """Release the attempts that an executor had before it started again."""
        lost = {
            task: attempt
            for task, attempt in self.attempts.items()
            if attempt.executor == name
            and attempt.answered_at is not None
            and attempt.answered_at < requested_at
            and (task, attempt.number) not in running
        }
        for attempt in lost.values():
            attempt.is_lost = True

        def release() -> None:
            for task, attempt in lost.items():
                if self.attempts.get(task) is attempt:
                    self.release(task)

        self.confirm_end(release)

    def adopt(self, task: str, name: str, number: int) -> None:
        """Adopt an attempt of an earlier owner."""
        self.world.note(self.process, "adopts", task, number, "on", name)
        attempt = self.attempts[task] = Attempt(name, number)
        attempt.answered_at = self.process.clock()
        self.pending.discard(task)
        # The task runs only here, so that no other executor has to be waited for.
        self.uncertain.discard(task)


def plan(world: World) -> None:
    """Schedule the faults of a run."""
    faults, chance = world.faults, world.random
    names = list(world.nodes)

    def when() -> float:
        return chance.uniform(FAULTS_BEGIN_S, FAULTS_END_S - 0.5)

    late_node = chance.choice(names[1:]) if faults.strangers else None
    for name in names:
        is_late = name == late_node and chance.random() < 0.5
        starts_at = chance.uniform(0.0, 5.0) if is_late else 0.3 * chance.random()
        world.at(starts_at, world.nodes[name].start)
    for _ in range(chance.randint(0, faults.cuts)):
        ends = names + [STORE, *world.executors]
        world.at(when(), cut_link, world, chance.choice(names), chance.choice(ends))
    for _ in range(chance.randint(0, faults.pauses)):
        world.at(when(), pause_node, world, chance.choice(names))
    for _ in range(chance.randint(0, faults.restarts)):
        world.at(when(), restart_node, world, chance.choice(names))
    for _ in range(chance.randint(0, faults.takeovers)):
        world.at(when(), begin_takeover, world, chance.choice(names))
    for _ in range(chance.randint(0, faults.moves)):
        world.at(when(), move_task, world)
        world.at(when(), world.executors[chance.choice(list(world.executors))].end_one)
    for _ in range(chance.randint(0, faults.crashes)):
        world.at(when(), world.executors[chance.choice(list(world.executors))].crash)
    if faults.partition:
        for _ in range(chance.randint(1, 2)):
            world.at(chance.uniform(FAULTS_BEGIN_S, 5.0), separate, world)
    if faults.outage:
        world.at(FAULTS_BEGIN_S + 1.0, cut_store, world)


def cut_link(world: World, node: str, other: str) -> None:
    """Cut a link of a node in one or both directions."""
    chance = world.random
    ends_at = world.now + chance.uniform(0.3, 6.0)
    directions = [(node, other), (other, node)]
    for source, target in chance.sample(directions, chance.randint(1, 2)):
        world.cut(source, target, ends_at, world.faults.held and chance.random() < 0.5)


def pause_node(world: World, name: str) -> None:
    """Pause the process of a node, often the owner."""
    node = world.find_owner() if world.random.random() < 0.5 else None
    process = (node or world.nodes[name]).process
    if process is not None:
        process.pause(world.random.choice([0.3, 0.9, 2.0, 4.0]))


def restart_node(world: World, name: str) -> None:
    """Kill the process of a node, sometimes the owner, and start another."""
    node = world.find_owner() if world.random.random() < 0.3 else None
    node = node or world.nodes[name]
    node.kill()
    world.at(world.now + world.random.uniform(0.05, 1.5), node.start)


def begin_takeover(world: World, name: str) -> None:
    """Let a node ask for the cell, whatever it follows."""
    process = world.nodes[name].process
    if process is not None:
        process.do(process.join)


def move_task(world: World) -> None:
    """Let an owner move a task."""
    for node in world.nodes.values():
        process = node.process
        if process is not None and process.owner is not None:
            if world.random.random() < 0.7:
                process.do(process.owner.stop_one)


def separate(world: World) -> None:
    """Cut the owner, and maybe other nodes, off from the store and from other nodes.

    An executor stays linked to one side or to both. What the others have sent to the
    owner's side may arrive before the cut ends, the nodes may reach each other for a
    while, and the store may execute the appends of the owner's side.
    """
    chance = world.random
    owner = world.find_owner()
    if owner is None:
        return
    others = [name for name in world.nodes if name != owner.name]
    side = {owner.name, *chance.sample(others, chance.randint(0, len(others) - 1))}
    if not world.faults.strangers:
        side = {owner.name}
    rest = [name for name in world.nodes if name not in side]
    ends_at = world.now + chance.uniform(2.0, 10.0)
    is_held = world.faults.held and chance.random() < 0.7
    heals_at = world.now + chance.uniform(1.0, ends_at - world.now)
    world.note("cut of", sorted(side), "until", round(ends_at, 3), "held", is_held)
    is_store_deaf = not world.faults.strangers or chance.random() < 0.7
    for name in sorted(side):
        if is_store_deaf:
            world.cut(name, STORE, ends_at)
        world.cut(STORE, name, ends_at)
    if world.faults.relinks and chance.random() < 0.5:
        first_end = chance.uniform(world.now + 0.5, ends_at)
        cut_sides(world, side, rest, first_end, is_held, first_end)
        again_at = first_end + chance.uniform(0.1, 1.0)
        world.at(again_at, cut_sides, world, side, rest, ends_at, is_held, heals_at)
    else:
        cut_sides(world, side, rest, ends_at, is_held, heals_at)
    for executor in world.executors:
        for name in chance.choice([side, rest, rest, rest, []]):
            world.cut(name, executor, ends_at)
            world.cut(executor, name, ends_at)


def cut_sides(
    world: World,
    side: set[str],
    rest: list[str],
    ends_at: float,
    is_held: bool,
    heals_at: float,
) -> None:
    """Cut the nodes of two sides off from each other; one direction may heal first."""
    for name in sorted(side):
        for other in rest:
            world.cut(name, other, ends_at)
            world.cut(other, name, heals_at if is_held else ends_at, is_held)


def cut_store(world: World) -> None:
    """Let the store answer no node for a while."""
    for name in world.nodes:
        world.cut(name, STORE, FAULTS_END_S)
        world.cut(STORE, name, FAULTS_END_S)


def play(
    seed: int,
    faults: Faults,
    omitted: Part | None = None,
    is_earlier_rule: bool = False,
    is_traced: bool = False,
    node_count: int = 0,
    schedule: Callable[[World], None] = plan,
) -> World:
    """Return the world at the end of a run or at its first violation.

    ``schedule`` schedules the starts of the nodes and the faults. The number of nodes
    is random if it is 0.
    """
    with (
        logbook.NullHandler(),
        mock.patch.object(authority_module, "LOST_VOTER_S", LOST_VOTER_S),
    ):
        world = World(seed, faults, omitted, is_earlier_rule, node_count)
        world.trace = [] if is_traced else None
        schedule(world)
        world.run(RUN_S)
    return world


def find_breaking_seed(seeds: range, faults: Faults, **options: Any) -> int | None:
    """Return the first seed by which a task runs twice at once, None without one.

    ``options`` are those of ``play``.
    """
    for seed in seeds:
        if play(seed, faults, **options).violations:
            return seed
    return None
