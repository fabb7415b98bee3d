"""Play the faults of a plan on a fleet."""

import random
import signal
from collections.abc import Callable

import anyio
import httpx

from soak.nodes.fleet import Fleet, Machine
from soak.nodes.ownership import OwnershipLog
from soak.nodes.plan import MAX_SERIES, Fault

__all__ = ["FaultPlayer", "wait_all_serve"]

# Only a process that never ends or never serves reaches this.
PROCESS_LIMIT_S = 60.0
POLL_S = 0.1
SERIES_GAP_S = 0.5


async def is_serving(client: httpx.AsyncClient, machine: Machine) -> bool:
    """Return whether the process of a node answers its readiness check at all."""
    try:
        await client.get(f"http://{machine.ready}/-/ready", timeout=1.0)
    except httpx.HTTPError:
        return False
    return True


async def wait_all_serve(client: httpx.AsyncClient, machines: list[Machine]) -> None:
    """Wait until all processes have served; raise TimeoutError after a while."""
    with anyio.fail_after(PROCESS_LIMIT_S):
        for machine in machines:
            while not await is_serving(client, machine):
                await anyio.sleep(POLL_S)
            machine.has_served = True


class FaultPlayer:
    """Play faults; a fault has ended once the processes that it hit serve again."""

    __slots__ = ("client", "fleet", "ownership", "report", "source")

    def __init__(
        self,
        fleet: Fleet,
        ownership: OwnershipLog,
        client: httpx.AsyncClient,
        source: random.Random,
        report: Callable[[str], None],
    ):
        self.fleet = fleet
        self.ownership = ownership
        self.client = client
        self.source = source
        self.report = report

    async def play_all(self, plan: list[Fault]) -> None:
        """Play all faults of a plan and wait until the last one has ended."""
        began_at = anyio.current_time()
        async with anyio.create_task_group() as group:
            for fault in plan:
                await anyio.sleep_until(began_at + fault.begins_at)
                group.start_soon(self.play, fault, began_at + fault.ends_at)

    def find_targets(self, fault: Fault) -> list[Machine]:
        """Return the machines that a fault hits."""
        machines = self.fleet.machines
        if fault.target == "all":
            return machines
        if fault.target == "owner":
            self.ownership.read()
            name = self.ownership.owner_name
            return [each for each in machines if each.name == name]
        count = min(MAX_SERIES, len(machines)) if fault.target == "series" else 1
        return [machines[(fault.number + i) % len(machines)] for i in range(count)]

    async def play(self, fault: Fault, until: float) -> None:
        """Play one fault until its end."""
        targets = self.find_targets(fault)
        apps = [self.fleet.store_apps[self.fleet.machines.index(m)] for m in targets]
        match fault.kind:
            case "slow":
                for machine in targets:
                    machine.running_shares.append(fault.amount)
                await anyio.sleep_until(until)
                for machine in targets:
                    machine.running_shares.remove(fault.amount)
            case "freeze":
                for machine in targets:
                    machine.freezes += 1
                await anyio.sleep_until(until)
                for machine in targets:
                    machine.freezes -= 1
            case "kill":
                await self.restart_all(targets, signal.SIGKILL, until)
            case "terminate":
                await self.restart_all(targets, signal.SIGTERM, until)
            case "reload":
                await self.reload(targets, until)
            case "store_slow":
                for app in apps:
                    app.delays_s.append(fault.amount)
                await anyio.sleep_until(until)
                for app in apps:
                    app.delays_s.remove(fault.amount)
            case "store_down":
                for app in apps:
                    app.change_outages(1)
                await anyio.sleep_until(until)
                for app in apps:
                    app.change_outages(-1)
            case "slow_read":
                for app in self.fleet.store_apps:
                    app.read_delays_s.append(fault.amount)
                await self.restart_all(targets, signal.SIGKILL, until)
                await anyio.sleep_until(until)
                for app in self.fleet.store_apps:
                    app.read_delays_s.remove(fault.amount)

    async def reload(self, targets: list[Machine], until: float) -> None:
        """Change the settings files, signal the nodes, and do it once more."""
        for _ in range(2):
            for machine in targets:
                machine.write_settings(task_lease_ms=self.source.randint(4_000, 6_000))
                # A node that is stopping gets the signal too; one that starts may not
                # have handlers yet.
                if machine.has_served:
                    machine.end(signal.SIGHUP)
            await anyio.sleep_until(until)

    async def restart_all(
        self, targets: list[Machine], number: int, until: float
    ) -> None:
        """End machines and start them again; a stop signal is sent in series."""
        async with anyio.create_task_group() as group:
            for machine in targets:
                group.start_soon(self.restart, machine, number, until)
                if number == signal.SIGTERM:
                    await anyio.sleep(SERIES_GAP_S)

    async def restart(self, machine: Machine, number: int, until: float) -> None:
        """End a process and start it again, after ``until`` if it was killed."""
        machine.is_ending = True
        machine.end(number)
        if machine.lock.locked():
            # The task that restarts the machine starts it again.
            return
        async with machine.lock:
            while machine.is_ending:
                await self.wait_ended(machine)
                if number == signal.SIGKILL:
                    await anyio.sleep_until(until)
                machine.start()
                await self.wait_serving(machine)

    async def wait_ended(self, machine: Machine) -> None:
        """Wait until a process has ended, and check its exit code."""
        with anyio.move_on_after(PROCESS_LIMIT_S):
            while machine.process.poll() is None:
                await anyio.sleep(POLL_S)
        if machine.process.poll() is None:
            self.report(f"STOP: {machine.name} does not end")
            machine.end(signal.SIGKILL)
            machine.process.wait()
        code = machine.process.returncode
        # A process has no signal handlers yet while it starts.
        is_early = code == -signal.SIGTERM and not machine.has_served
        if code not in (0, -signal.SIGKILL) and not is_early:
            self.report(f"STOP: {machine.name} ended with {code}")

    async def wait_serving(self, machine: Machine) -> None:
        """Wait until a process serves or is told to end again."""
        with anyio.move_on_after(PROCESS_LIMIT_S):
            while not machine.is_ending:
                if await is_serving(self.client, machine):
                    machine.has_served = True
                    return
                if machine.process.poll() is not None and not machine.is_ending:
                    code = machine.process.returncode
                    self.report(f"START: {machine.name} ended with {code}")
                    machine.start()
                await anyio.sleep(POLL_S)
        if not machine.is_ending:
            self.report(f"START: {machine.name} does not serve")
