"""One run: faults in series on node processes, then the checks from outside."""

import random
import tempfile
from pathlib import Path
from typing import Any

import anyio
import httpx

from soak.builds import owns_cell
from soak.nodes.clients import Clients, make_headers
from soak.nodes.faults import FaultPlayer, wait_all_serve
from soak.nodes.fleet import Fleet, Machine, running_fleet
from soak.nodes.ownership import LOSS, REMOVAL, TAKEOVER, OwnershipLog
from soak.nodes.plan import Fault, draw_plan, max_takeovers
from stand_ins.platform.store import StoreModel

__all__ = ["Trial", "run_trial"]

# Bound in seconds from the end of the last fault to the time from which one owner
# serves. The target is 2 s of takeover and up to 3 s for a slow read; six times that
# leaves room for a slow machine, while a cell that never settles still misses it.
SETTLE_BOUND_S = 30.0
# One owner has to serve for this time. The gauge of ownership is a second old at most.
STABLE_S = 3.0
POLL_S = 0.5
# Bound in seconds on the end of all accepted jobs once one owner serves. A job takes
# 0.4 s, and a lost attempt waits for leases of 5 s.
JOBS_BOUND_S = 60.0
MAX_CLIENTS = 8
ASK_LIMIT_MS = 2_000
LAG_POLL_S = 0.05


class Trial:
    """Run of one seed; ``problems`` lists what broke a check."""

    __slots__ = (
        "client",
        "clients",
        "fleet",
        "max_lag_s",
        "ownership",
        "plan",
        "problems",
        "settled_s",
        "takeovers",
    )

    def __init__(self, fleet: Fleet, client: httpx.AsyncClient, plan: list[Fault]):
        self.fleet = fleet
        self.client = client
        self.plan = plan
        self.problems: list[str] = []
        self.clients = Clients(fleet.world, self.report)
        self.ownership = OwnershipLog(fleet.machines)
        # Seconds from the end of the last fault until one owner served.
        self.settled_s: float | None = None
        self.takeovers = 0
        # Longest delay of this process, which the stand-ins of all nodes share.
        self.max_lag_s = 0.0

    def report(self, problem: str) -> None:
        """Record a problem once."""
        if problem not in self.problems:
            self.problems.append(problem)

    async def run(self, share: float, source: random.Random) -> None:
        """Start the nodes, play the plan under load and check what is left."""
        machines = self.fleet.machines
        async with anyio.create_task_group() as group:
            group.start_soon(self.fleet.limit_machines)
            group.start_soon(self.measure_lag)
            await wait_all_serve(self.client, machines)
            if await self.settle() is None:
                self.report(f"START: no owner serves within {SETTLE_BOUND_S} s")
            self.ownership.read()
            first_takeovers = self.ownership.count()[TAKEOVER]
            for machine in machines:
                machine.share = share
            player = FaultPlayer(
                self.fleet, self.ownership, self.client, source, self.report
            )
            for machine in machines[:MAX_CLIENTS]:
                client_source = random.Random(source.getrandbits(64))
                group.start_soon(self.clients.run, machine, client_source)
            await player.play_all(self.plan)
            self.settled_s = await self.settle()
            if self.settled_s is None:
                self.report(f"UNSETTLED: no owner served for {SETTLE_BOUND_S} s")
            else:
                deadline = anyio.current_time() + JOBS_BOUND_S
                await self.clients.check_ends(self.client, machines, deadline)
            for machine in machines:
                if machine.process.poll() is not None:
                    self.report(f"STOP: {machine.name} has ended by itself")
            group.cancel_scope.cancel()
        self.clients.check_refused()
        self.problems += map(str, self.fleet.world.violations)
        self.ownership.read()
        self.takeovers = self.ownership.count()[TAKEOVER] - first_takeovers
        allowed = max_takeovers(self.plan, len(machines))
        if self.takeovers > allowed:
            self.report(f"TAKEOVERS: {self.takeovers}, at most {allowed} are allowed")

    async def settle(self) -> float | None:
        """Return the seconds until one owner served for a while, None after the bound.

        That is the time at which an uninterrupted stretch of service has begun.
        """
        began_at = anyio.current_time()
        owner, takeovers, since = "", 0, began_at
        while since - began_at <= SETTLE_BOUND_S:
            asked_at = anyio.current_time()
            owners = await self.find_serving_owner()
            self.ownership.read()
            count = self.ownership.count()[TAKEOVER]
            if len(owners) != 1 or owners[0] != owner or count != takeovers:
                owner = owners[0] if len(owners) == 1 else ""
                takeovers, since = count, asked_at
            elif asked_at - since >= STABLE_S:
                return since - began_at
            await anyio.sleep(POLL_S)
        return None

    async def find_serving_owner(self) -> list[str]:
        """Return the nodes that own the cell, none if a node does not serve callers."""
        owners: list[str] = []
        serving: list[str] = []

        async def ask(machine: Machine) -> None:
            if await owns_cell(self.client, machine):
                owners.append(machine.name)
            if await self.is_answered(machine):
                serving.append(machine.name)

        async with anyio.create_task_group() as group:
            for machine in self.fleet.machines:
                group.start_soon(ask, machine)
        return owners if len(serving) == len(self.fleet.machines) else []

    async def is_answered(self, machine: Machine) -> bool:
        """Return whether a node has an owner's answer to a query of a queue."""
        url = f"http://{machine.caller}/batch/"
        try:
            answer = await self.client.get(url, headers=make_headers(ASK_LIMIT_MS))
        except httpx.HTTPError:
            return False
        return answer.status_code == 200

    async def measure_lag(self) -> None:
        """Measure the longest delay of this process until cancelled."""
        while True:
            due_at = anyio.current_time() + LAG_POLL_S
            await anyio.sleep_until(due_at)
            self.max_lag_s = max(self.max_lag_s, anyio.current_time() - due_at)

    def summarize(self) -> dict[str, Any]:
        """Return the figures of the run."""
        counts = self.ownership.count()
        return {
            "faults": len(self.plan),
            "settled_s": None if self.settled_s is None else round(self.settled_s, 1),
            "takeovers": self.takeovers,
            "allowed_takeovers": max_takeovers(self.plan, len(self.fleet.machines)),
            "removals": counts[REMOVAL],
            "owner_lost": counts[LOSS],
            "accepted": len(self.clients.accepted),
            "refused": len(self.fleet.world.refused),
            "uncertain": len(self.clients.uncertain),
            "answers": dict(sorted(self.clients.answers.items())),
            "max_lag_s": round(self.max_lag_s, 2),
            "problems": self.problems,
        }


async def run_trial(
    seed: int,
    nodes: int,
    seconds: float,
    share: float = 1.0,
    keep: str = "",
    store: StoreModel | None = None,
) -> Trial:
    """Run one seed and return the trial; the logs stay in the folder ``keep``."""
    source = random.Random(seed)
    plan = draw_plan(source, nodes, seconds)
    # How long a takeover waits for the store's records in all of the run.
    read_delay_s = source.choice((0.0, 0.0, source.uniform(0.0, 3.0)))
    with tempfile.TemporaryDirectory() as temporary:
        folder = Path(keep or temporary)
        folder.mkdir(parents=True, exist_ok=True)
        store = store or StoreModel()
        async with running_fleet(nodes, folder, store, read_delay_s) as fleet:
            # Nodes answer within 5 s, unless they are frozen.
            async with httpx.AsyncClient(timeout=10.0) as client:
                trial = Trial(fleet, client, plan)
                await trial.run(share, source)
    return trial
