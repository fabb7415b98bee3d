"""Stand-ins of executors, and what the rules say of the tasks that they run."""

import asyncio
import json
import time

from http_server import HttpServer, now_s

HEARTBEAT_S = 1.5
MAX_HOLD_MS = 10_000
STOP_S = 0.1
STARTUP_S = 0.3
FAIL_S = 0.2


class World:
    """Executors of one deployment, the record of events and the rules."""

    def __init__(self, store, record):
        self.store = store
        self.record = record
        self.executors = []
        self.broken = []
        # Jobs that were sent: pipeline by id.
        self.jobs = {}
        # Numbers of starts, times of the last ones, and tasks that have ended as done.
        self.starts = {}
        self.last_start = {}
        self.done = set()
        # Tasks whose end as ``done`` was taken note of.
        self.noted = set()
        # Jobs whose queue has advice, and the end of each ticket by step and executor.
        self.advised = set()
        self.tickets = {}

    def breaks(self, rule, text):
        """Record a broken rule."""
        self.broken.append(f"{rule}: {text}")
        self.record(f"BROKEN {rule}: {text}")

    def step_of(self, task):
        """Return the step of a task, None if nobody sent it."""
        job, _, step, _ = task.split(".")
        steps = self.jobs.get(job)
        return steps[int(step)] if steps else None

    def running(self, job):
        """Return the tasks of a job that run on executors that are up."""
        return [
            (executor.name, task)
            for executor in self.executors
            if executor.is_up
            for task in executor.runs
            if task.startswith(job)
        ]

    def note_end(self, task, ended_at):
        """Take note of an end as ``done``: its task may not have started since."""
        self.noted.add(task)
        if self.last_start[task] > ended_at:
            self.breaks("TWICE", f"{task} has started since an end noted later")

    def started(self, executor, task, attempt):
        """Apply the rules to a start."""
        self.starts[task] = self.starts.get(task, 0) + 1
        self.record(f"start {task} attempt {attempt} on {executor.name}")
        step = self.step_of(task)
        if step is None:
            self.breaks("UNASKED", f"{task} on {executor.name}")
            return
        for other in self.executors:
            if other is not executor and other.is_up and task in other.runs:
                self.breaks(
                    "TWICE",
                    f"{task} attempt {attempt} starts on {executor.name} while "
                    f"attempt {other.runs[task]['attempt']} runs on {other.name}",
                )
        self.last_start[task] = now_s()
        if task in self.noted:
            self.breaks("TWICE", f"{task} starts after an end that was taken note of")
        used = sum(self.step_of(each).get("cpu", 0) for each in executor.runs)
        if used > executor.cpu:
            self.breaks("LIMIT", f"{executor.name} runs {used} of {executor.cpu}")


class Policy:
    """Policy service that allows all executors; it serves one address."""

    def __init__(self, world, decide_s=0.02, valid_s=2.0):
        self.world = world
        self.decide_s = decide_s
        self.valid_s = valid_s
        self.server = HttpServer(self.handle)

    async def handle(self, request):
        """Issue tickets for the executors that a call names."""
        content = request.json()
        await asyncio.sleep(self.decide_s)
        rows = []
        for name in content["workers"]:
            ticket = f"{content['step']}/{name}"
            self.world.tickets[ticket] = now_s() + self.valid_s
            rows.append([name, ticket])
        return 200, {"allowed": rows}


class Executor:
    """Executor that starts what it is told to start (``admissionCheck`` false)."""

    def __init__(self, world, name, rack, kind, cpu=32_000, gpu=0):
        self.world = world
        self.name = name
        self.labels = [kind, rack]
        self.cpu = cpu
        self.gpu = gpu
        self.server = HttpServer(self.handle)
        self.is_up = False
        # Fails all that it starts, or refuses starts as an unhealthy executor does.
        self.fails = False
        self.refuses = False
        self.changed = asyncio.Event()
        world.executors.append(self)

    async def start(self, port=None):
        """Begin an incarnation, at another port if one is given."""
        if port is not None:
            self.server.port = port
        self.born = int(time.time() * 1000)
        self.began = now_s()
        self.fence = 0
        self.lease_ms = 0
        self.end_number = 0
        self.runs = {}
        self.ended = []
        # Ends as ``done`` that were not taken note of under the lease: task and time.
        self.unnoted = {}
        self.highest = {}
        self.seq = 0
        await self.server.start()
        self.is_up = True
        self.tasks = [
            asyncio.create_task(self.beat()),
            asyncio.create_task(self.advance_often()),
        ]
        self.world.record(f"{self.name} is up at {self.server.address}")

    def crash(self):
        """End at once with all that runs here."""
        self.world.record(f"{self.name} crashes; it ran {sorted(self.runs)}")
        self.is_up = False
        self.runs = {}
        self.server.stop()
        for task in self.tasks:
            task.cancel()

    def clock_ms(self):
        """Return the time on the executor's own clock."""
        return int((now_s() - self.began) * 1000)

    def write_entry(self):
        """Write the entry to the store."""
        self.seq += 1
        entry = {
            "service": "svc",
            "address": self.server.address,
            "zone": "z1",
            "version": "1",
            "slots": 8,
            "state": "ready",
            "coldLeftMs": 0,
            "seqNo": self.seq,
            "born": self.born,
            "capacity": {"cpu": self.cpu, "memMb": 131_072, "gpu": self.gpu},
            "labels": self.labels,
        }
        self.world.store.put("keyed.servers", self.name, json.dumps(entry).encode())

    async def beat(self):
        """Write the entry at each heartbeat."""
        while True:
            self.write_entry()
            await asyncio.sleep(HEARTBEAT_S)

    async def advance_often(self):
        """End tasks in time."""
        while True:
            await asyncio.sleep(0.02)
            self.advance()

    def advance(self):
        """End the tasks that are over, and all if the lease has expired."""
        for task, run in list(self.runs.items()):
            if run["ends"] <= now_s():
                self.end(task, run["how"])
        if self.clock_ms() > self.lease_ms:
            for task in list(self.runs):
                self.end(task, "lapsed")
            # Ends from before the lapse of the lease do not count.
            self.unnoted.clear()

    def end(self, task, how):
        """End a task and list the end."""
        run = self.runs.pop(task)
        self.highest[task] = max(self.highest.get(task, 0), run["attempt"])
        self.end_number += 1
        self.ended.append([self.end_number, task, run["attempt"], how, ""])
        if how == "done":
            self.unnoted[self.end_number] = (task, now_s())
        if how == "done":
            self.world.done.add(task)
        self.world.record(f"end {task} attempt {run['attempt']} on {self.name}: {how}")
        self.changed.set()
        self.changed = asyncio.Event()

    def extend(self, deadline_ms):
        """Extend the lease, which never shortens, up to its maximum."""
        if deadline_ms is not None:
            until = min(deadline_ms, self.clock_ms() + MAX_HOLD_MS)
            self.lease_ms = max(self.lease_ms, until)

    async def handle(self, request):
        """Answer one order."""
        if request.headers.get("target-instance", self.name) != self.name:
            return 421, {"clockMs": self.clock_ms()}
        order = request.json()
        self.advance()
        fence = order.get("fencingToken", 0)
        if fence < self.fence:
            return self.refuse("fence")
        self.fence = fence
        if request.path == "/-/run-start":
            return self.start_task(order)
        if request.path == "/-/run-stop":
            return self.stop_task(order)
        if request.path == "/-/hold":
            return await self.hold(order)
        if request.path == "/-/pace":
            return 200, {"clockMs": self.clock_ms()}
        return 400, {"clockMs": self.clock_ms()}

    def refuse(self, reason):
        """Return a refusal with its reason."""
        return 409, {"clockMs": self.clock_ms(), "reason": reason}

    def start_task(self, order):
        """Start a task unless it is there or may not start."""
        task, attempt = order["task"], order["attempt"]
        if self.refuses:
            self.world.record(f"refused {task} attempt {attempt} on {self.name}: 503")
            return 503, {"clockMs": self.clock_ms()}
        run = self.runs.get(task)
        if run is not None and run["attempt"] == attempt:
            return 200, {"clockMs": self.clock_ms()}
        if attempt <= self.highest.get(task, 0):
            self.extend(order["deadlineMs"])
            return self.refuse("old")
        if order["deadlineMs"] <= self.clock_ms():
            return self.refuse("late")
        if task.split(".")[0] in self.world.advised and not self.has_ticket(order):
            self.world.record(
                f"refused {task} attempt {attempt} on {self.name}: ticket"
            )
            return self.refuse("ticket")
        self.extend(order["deadlineMs"])
        step = self.world.step_of(task) or {}
        # The payload names the work of a task in milliseconds.
        work_s = float("inf")
        if not step.get("longRunning"):
            work_s = int(order["spec"].partition("work=")[2] or "1000") / 1000
        how = "done"
        if self.fails:
            work_s, how = FAIL_S, "failed"
        self.runs[task] = {
            "attempt": attempt,
            "began": now_s(),
            "work": work_s,
            "ends": now_s() + work_s,
            "how": how,
        }
        self.world.started(self, task, attempt)
        return 200, {"clockMs": self.clock_ms()}

    def has_ticket(self, order):
        """Return whether a start carries a valid ticket of its step for this place."""
        ticket = order.get("ticket", "")
        is_own = ticket == f"{order['task'].rpartition('.')[0]}/{self.name}"
        return is_own and self.world.tickets.get(ticket, 0.0) >= now_s()

    def stop_task(self, order):
        """Stop a task; a run that is not there yet will be rejected."""
        task, attempt = order["task"], order["attempt"]
        self.highest[task] = max(self.highest.get(task, 0), attempt)
        run = self.runs.get(task)
        if run is not None and run["attempt"] == attempt:
            run["how"] = "stopped"
            run["ends"] = min(run["ends"], now_s() + STOP_S)
        return 200, {"clockMs": self.clock_ms()}

    async def hold(self, order):
        """Extend the lease and return both lists, once there is an end if asked to."""
        last_seen = order.get("lastSeen", 0)
        for number in [each for each in self.unnoted if each <= last_seen]:
            self.world.note_end(*self.unnoted.pop(number))
        self.ended = [row for row in self.ended if row[0] > last_seen]
        self.extend(order.get("deadlineMs"))
        until = now_s() + min(order.get("waitMs", 0), 2_000) / 1000
        while not self.ended and (left := until - now_s()) > 0:
            try:
                async with asyncio.timeout(left):
                    await self.changed.wait()
            except TimeoutError:
                break
        running = []
        for task, run in self.runs.items():
            age_s = now_s() - run["began"]
            percent = 100 * min(1.0, age_s / run["work"]) if run["work"] else 0
            if run["work"] == float("inf"):
                percent = 100 if age_s > STARTUP_S else 0
            load = 10 if run["work"] == float("inf") else 500
            running.append([task, run["attempt"], "", int(percent), load])
        return 200, {
            "clockMs": self.clock_ms(),
            "born": self.born,
            "running": running,
            "ended": self.ended[:500],
        }


async def start_fleet(world, count=24, per_rack=8, special=()):
    """Start executors, 8 a rack; those in ``special`` are of kind ``g``."""
    for number in range(count):
        rack = f"r1-{number // per_rack}"
        is_special = number in special
        kind = "g" if is_special else "a"
        executor = Executor(world, f"x{number:02}", rack, kind, gpu=4 * is_special)
        await executor.start()
