"""Run the tasks of one rack: place, start, renew, watch and report them."""

import math
from collections import Counter

import anyio
import anyio.abc
import logbook

from gypsumring.exceptions import InvariantViolation
from gypsumring.messages.peer import (
    Acknowledged,
    Explanation,
    PeerMessage,
    PeerReply,
    RackSummary,
    RackTasks,
    ReleaseReservation,
    ReserveReply,
    ReserveTasks,
    StartTasks,
    StartTasksReply,
    StopTasks,
    TaskReport,
    TaskReportState,
    TasksOfLedger,
    TaskToStart,
)
from gypsumring.messages.work import Priority, Resources
from gypsumring.metrics import RefusalReason, RetryReason
from gypsumring.placement.admitting import TaskPlacer
from gypsumring.placement.attempts import (
    Attempt,
    AttemptState,
    WorkerLink,
    index_records,
    make_adopted,
)
from gypsumring.placement.calling import WorkerCaller
from gypsumring.placement.engine import PlacementEngine
from gypsumring.placement.explaining import explain
from gypsumring.placement.limits import ACT_POLL_S, PART
from gypsumring.placement.reports import ReportSender
from gypsumring.placement.rooms import Demand, Key, Preemption
from gypsumring.placement.usage import larger_of
from gypsumring.ports import (
    Inventory,
    PeerRejected,
    TaskActionKind,
    VmEntry,
    VmRole,
    VmState,
)
from gypsumring.shards import ShardContext

__all__ = ["RackManager"]

log = logbook.Logger("placement")


# A message may be delivered again by the transport while its caller waits, so
# refusals and forgotten attempts are remembered for longer than any call takes.
MEMORY_S = 60.0
# Finished tasks hold their room until an inventory shows their end; 19 tasks make an
# inventory of about 3 kB, so a look every 2 s costs a worker 1.5 kB/s.
LOOK_S = 2.0
# How long a start waits for a new owner to have called its workers.
RECOVERY_WAIT_S = 2.0
ACCEPTED_AT_ONCE = 50
# A task that fails within this time counts against its worker or its service. Crash
# loops end within a few seconds, and a failure shows at the next look (2 s) at last.
SOON_S = 10.0


class RackManager:
    """Place and run tasks on the workers of one rack shard.

    One task serves each worker, so a worker has at most one call in flight and its
    answers are never mixed up.
    """

    def __init__(self, context: ShardContext):
        self.context = context
        self.timing = context.timing
        self.metrics = context.metrics
        self.engine = PlacementEngine(
            context.cell.packing_weight, context.random_source
        )
        self.links: dict[str, WorkerLink] = {}
        self.attempts: dict[Key, Attempt] = {}
        # Live attempt of each task; a second one is refused.
        self.live: dict[str, Key] = {}
        # Attempts that are settled or refused, and until when they are remembered.
        self.remembered: dict[Key, tuple[TaskReport, float]] = {}
        # Attempts stopped before they were known, and until when starts are refused.
        self.barred: dict[Key, float] = {}
        self.ledger_epochs: dict[str, int] = {}
        self.reports = ReportSender(context, self.forget_reported)
        self.caller = WorkerCaller(self)
        self.placer = TaskPlacer(self)
        self.waiting: dict[Key, Preemption] = {}
        self.reasons: Counter[str] = Counter()
        self.draining = False
        self.starts_answered = anyio.Event()
        self.tasks: anyio.abc.TaskGroup | None = None
        self.call_s = self.timing.call_ms / 1000
        self.margin_s = self.timing.margin_ms / 1000
        self.lease_s = self.timing.task_lease_ms / 1000
        # A predecessor's last renewal was sent before this process acquired the
        # shard and may reach a worker until its call would have ended.
        now = anyio.current_time()
        self.inherited_end = now + self.call_s + self.lease_s + self.margin_s
        # The list lags: workers that it shows only at its next reads may hold tasks.
        self.listed_at = now + 2 * self.timing.vm_list_poll_ms / 1000

    # --- running --------------------------------------------------------------------

    async def run(self) -> None:
        """Follow the VM list and serve the workers until cancelled."""
        async with anyio.create_task_group() as self.tasks:
            self.reports.start(self.tasks)
            while True:
                self.update_workers()
                self.forget_old()
                self.refuse_overdue()
                self.note_survivors()
                self.engine.expire_reservations(anyio.current_time())
                await anyio.sleep(self.timing.vm_list_poll_ms / 1000)

    def update_workers(self) -> None:
        """Bring the worker links in line with the VM list."""
        vms = {
            vm.name: vm
            for vm in self.context.list_vms()
            if vm.role == VmRole.WORKER and vm.shard == self.context.shard
        }
        self.add_unlisted_workers()
        for name in sorted(vms):
            if name not in self.links:
                self.add_link(vms[name])
            link = self.links[name]
            link.listed = True
            if link.vm != vms[name]:
                self.replace_vm(link, vms[name])
            leaving = vms[name].state == VmState.LEAVING
            self.engine.set_closed(name, "leaving", leaving)
            if leaving:
                self.caller.move_unsent(link)
        for name, link in self.links.items():
            if name not in vms:
                if link.listed:
                    unlisted_s = self.timing.unlisted_renew_ms / 1000
                    link.renewed_until = anyio.current_time() + unlisted_s
                link.listed = False
                self.engine.set_closed(name, "unlisted", True)
            else:
                link.renewed_until = math.inf
                self.engine.set_closed(name, "unlisted", False)

    def add_unlisted_workers(self) -> None:
        """Read the inventories of workers that may hold tasks of an earlier owner.

        The list may be wrong about them. Their leases are not renewed here: how long
        an earlier owner has renewed them already is not known.
        """
        now = anyio.current_time()
        if now >= self.inherited_end:
            return
        for vm in self.context.list_unlisted_workers():
            if vm.shard == self.context.shard and vm.name not in self.links:
                self.add_link(vm)
                self.links[vm.name].listed = False
                self.links[vm.name].renewed_until = now

    def add_link(self, vm: VmEntry) -> None:
        """Start serving a worker; it gets no work until it was heard."""
        now = anyio.current_time()
        link = WorkerLink(vm, now, self.inherited_end)
        self.links[vm.name] = link
        self.engine.add_worker(vm.name, link.capacity, vm.data_centre, vm.rack)
        self.engine.set_closed(vm.name, "silent", True)
        # Its tasks may use more than they declared, so measure before adding any.
        self.engine.set_closed(vm.name, "unmeasured", True)
        self.tasks.start_soon(self.caller.serve_worker, link)

    def replace_vm(self, link: WorkerLink, vm: VmEntry) -> None:
        """Take over a changed entry of a worker."""
        if vm.address != link.vm.address:
            link.client = None
        link.vm = vm
        self.engine.resize_worker(vm.name, link.capacity)

    def forget_old(self) -> None:
        """Drop remembered outcomes that no repeated message can ask for."""
        now = anyio.current_time()
        for key in [k for k, (_, end) in self.remembered.items() if end <= now]:
            del self.remembered[key]
        for key in [k for k, end in self.barred.items() if end <= now]:
            del self.barred[key]

    def refuse_overdue(self) -> None:
        """Refuse unsent attempts whose caller went away before their deadline."""
        now = anyio.current_time()
        for attempt in list(self.attempts.values()):
            if attempt.is_unsent and attempt.deadline <= now:
                self.refuse(attempt, RefusalReason.DEADLINE_UNREACHABLE)

    def note_survivors(self) -> None:
        """Tell the engine of tasks that did not fail soon after their start."""
        latest = anyio.current_time() - SOON_S
        for attempt in self.attempts.values():
            if attempt.is_live and attempt.started_at is not None:
                if attempt.started_at <= latest:
                    self.record_run(attempt, True)

    def record_run(self, attempt: Attempt, survived: bool) -> None:
        """Tell the engine once how the first seconds of a task went."""
        if attempt.started_at is None or attempt.stop_requested or attempt.preempted:
            return
        attempt.started_at = None
        self.engine.record_run(
            attempt.worker, attempt.demand.service, survived, anyio.current_time()
        )
        if not survived:
            self.metrics.count("placement.tasks_failed_soon")

    # --- inventories ----------------------------------------------------------------

    def absorb(self, link: WorkerLink, inventory: Inventory, sent: float) -> None:
        """Settle attempts by an inventory that was asked for at ``sent``."""
        now = anyio.current_time()
        link.note_clock(inventory.worker_time, now)
        link.look_at = now + LOOK_S
        link.heard = link.reachable = True
        link.lost_reported = False
        self.engine.set_closed(link.name, "silent", False)
        records = index_records(inventory)
        for key, record in records.items():
            attempt = self.attempts.get(key) or make_adopted(record)
            outcome = attempt.judge(record)
            if key in self.remembered:
                self.clear_settled(link, key, outcome)
                continue
            if key not in self.attempts:
                attempt.worker = link.name
                self.attempts[key] = attempt
                if outcome is None:
                    self.adopt(link, attempt)
            if attempt.worker != link.name:
                self.stop_duplicate(link, key, outcome)
            elif not attempt.is_live:
                if outcome is None:
                    link.actions[key] = TaskActionKind.STOP
            elif outcome is not None:
                self.finish(attempt, outcome, record.exit_reason)
            elif attempt.state != AttemptState.RUNNING:
                self.settle_running(attempt)
                if attempt.stop_requested:
                    link.actions[key] = TaskActionKind.STOP
        for attempt in self.caller.list_on_worker(link):
            if attempt.key in records or attempt.is_unsent:
                continue
            if attempt.state == AttemptState.RUNNING:
                self.finish(attempt, TaskReportState.LOST, "worker does not have it")
            elif sent > attempt.start_limit:
                # The worker refuses the start from now on, and it does not run.
                self.caller.requeue(link, attempt)
            else:
                again = attempt.start_limit + self.margin_s / 2
                link.look_at = min(link.look_at, again)
        self.placer.start_waiting(link)

    def adopt(self, link: WorkerLink, attempt: Attempt) -> None:
        """Account for a running attempt that this process did not know."""
        key = attempt.key
        self.engine.adopt(attempt.demand, link.name)
        other = self.live.setdefault(key[0], key)
        if other != key:
            older = min(other, key)
            self.live[key[0]] = max(other, key)
            self.metrics.count("placement.duplicate_attempts_found")
            log.error("task {} has attempts {} and {}", key[0], other[1], key[1])
            # The ledger issues a later attempt only after it settled the earlier.
            older_link = self.links[self.attempts[older].worker]
            older_link.actions[older] = TaskActionKind.STOP
            older_link.notify()

    def clear_settled(
        self, link: WorkerLink, key: Key, outcome: TaskReportState | None
    ) -> None:
        """Make a worker forget an attempt that is settled, and stop one that runs."""
        if outcome is not None:
            link.actions[key] = TaskActionKind.FORGET
            return
        self.metrics.count("placement.settled_attempts_found")
        log.error("attempt {} runs on {} after it was settled", key, link.name)
        link.actions[key] = TaskActionKind.STOP

    def stop_duplicate(
        self, link: WorkerLink, key: Key, outcome: TaskReportState | None
    ) -> None:
        """Stop an attempt that runs on a second worker, or let it be forgotten."""
        if outcome is None:
            self.metrics.count("placement.duplicate_attempts_found")
            log.error("attempt {} runs on a second worker {}", key, link.name)
            link.actions[key] = TaskActionKind.STOP
        else:
            link.actions[key] = TaskActionKind.FORGET

    # --- settling -------------------------------------------------------------------

    def settle_running(self, attempt: Attempt) -> None:
        """Note that an attempt runs."""
        attempt.state = AttemptState.RUNNING
        attempt.settled.set()
        if attempt.told_uncertain:
            self.reports.queue(attempt)

    def finish(self, attempt: Attempt, outcome: TaskReportState, reason: str) -> None:
        """Note the end of an attempt, free its room and report it."""
        if outcome in (TaskReportState.SUCCEEDED, TaskReportState.FAILED):
            self.record_run(attempt, outcome == TaskReportState.SUCCEEDED)
        self.close(attempt, outcome, reason)
        self.reports.queue(attempt)

    def refuse(self, attempt: Attempt, reason: RefusalReason, text: str = "") -> None:
        """Settle an attempt that surely never ran."""
        self.metrics.refuse(PART, reason)
        self.reasons[reason] += 1
        self.close(attempt, TaskReportState.REFUSED, text or str(reason))
        if attempt.told_uncertain:
            self.reports.queue(attempt)
        else:
            self.remember(attempt)

    def close(self, attempt: Attempt, outcome: TaskReportState, reason: str) -> None:
        """Move an attempt to its final state."""
        attempt.state = AttemptState.FINAL
        attempt.outcome = outcome
        attempt.reason = reason
        if attempt.preempted and outcome == TaskReportState.PREEMPTED:
            self.metrics.retry(PART, RetryReason.TASK_PREEMPTED)
        self.engine.release(attempt.key)
        link = self.links.get(attempt.worker)
        if link is not None:
            link.queue.pop(attempt.key, None)
            link.preempting.pop(attempt.key, None)
            link.actions.pop(attempt.key, None)
        self.placer.end_claim(attempt.key)
        if self.live.get(attempt.key[0]) == attempt.key:
            del self.live[attempt.key[0]]
        attempt.settled.set()
        if link is not None:
            self.placer.start_waiting(link)

    def forget_reported(self, key: Key) -> None:
        """Drop an ended attempt once its report is durable."""
        attempt = self.attempts.get(key)
        if attempt is not None and not attempt.is_live:
            self.remember(attempt)

    def remember(self, attempt: Attempt) -> None:
        """Keep the outcome for repeated messages, and let the worker forget it."""
        self.attempts.pop(attempt.key, None)
        end = anyio.current_time() + MEMORY_S
        self.remembered[attempt.key] = (attempt.make_report(), end)
        link = self.links.get(attempt.worker)
        if link is not None and attempt.outcome != TaskReportState.REFUSED:
            link.actions[attempt.key] = TaskActionKind.FORGET
            link.notify()

    # --- placing --------------------------------------------------------------------

    # --- messages -------------------------------------------------------------------

    async def handle(self, sender: str, message: PeerMessage) -> PeerReply:
        """Answer a peer message for this rack; raise PeerRejected."""
        match message:
            case StartTasks():
                return await self.start_tasks(message)
            case StopTasks():
                return self.stop_tasks(message)
            case TasksOfLedger():
                return self.list_tasks(message)
            case ReserveTasks():
                return self.reserve_tasks(message)
            case ReleaseReservation():
                self.check_message(message)
                self.engine.release_reservation(
                    make_reservation_name(message.ledger, message.reservation_id)
                )
                return Acknowledged()
        raise self.reject(RefusalReason.BAD_REQUEST)

    def reject(self, reason: RefusalReason) -> PeerRejected:
        """Count a rejected message and return the error to raise."""
        self.metrics.refuse(PART, reason)
        return PeerRejected(reason)

    def check_message(self, message) -> None:
        """Reject a message for another shard, without ownership or of an old epoch."""
        if message.shard != self.context.shard or not self.context.may_act():
            raise self.reject(RefusalReason.NOT_OWNER)
        known = self.ledger_epochs.get(message.ledger, 0)
        if message.ledger_epoch < known:
            raise self.reject(RefusalReason.OLD_EPOCH)
        self.ledger_epochs[message.ledger] = message.ledger_epoch

    def check_rack_epoch(self, message: StartTasks | ReserveTasks) -> None:
        """Reject a message whose attempts were first sent under another rack epoch.

        An earlier owner may have started them on a worker that this one has not heard,
        so they are settled by `TasksOfLedger` and never started here.
        """
        if message.rack_epoch != self.context.epoch:
            self.metrics.count("placement.messages_of_other_rack_epochs")
            raise self.reject(RefusalReason.OLD_EPOCH)

    async def start_tasks(self, message: StartTasks) -> StartTasksReply:
        """Place and start tasks; answer when all are settled or at the deadline.

        A repeated attempt is answered from what this process knows. After a change of
        the shard's epoch a caller settles its attempts by `TasksOfLedger` first: an
        attempt that ended on a worker which stayed silent is not known here.
        """
        self.check_message(message)
        self.check_rack_epoch(message)
        now = anyio.current_time()
        deadline = now + (message.left_ms or self.timing.call_ms) / 1000
        await self.wait_until_ready(min(deadline, now + RECOVERY_WAIT_S))
        # Ownership or the ledger's epoch may have changed while waiting.
        self.check_message(message)
        reservation = ""
        if message.reservation_id:
            reservation = make_reservation_name(message.ledger, message.reservation_id)
        answered = []
        for number, task in enumerate(message.tasks):
            if number and number % ACCEPTED_AT_ONCE == 0:
                await anyio.sleep(0)
            answered.append(self.accept(task, message, deadline, reservation))
        with anyio.move_on_at(deadline):
            for item in answered:
                if isinstance(item, Attempt):
                    await item.settled.wait()
        reports = []
        for item in answered:
            if isinstance(item, Attempt):
                if item.is_unsent:
                    self.refuse(item, RefusalReason.DEADLINE_UNREACHABLE)
                elif item.is_live and not item.settled.is_set():
                    item.told_uncertain = True
                item = item.make_report()
            reports.append(item)
        return StartTasksReply(tuple(reports), self.summarize())

    async def wait_until_ready(self, limit: float) -> None:
        """Wait until attempts can be placed; raise PeerRejected at the limit."""
        while not (self.draining or self.is_ready()):
            if anyio.current_time() >= limit:
                raise self.reject(RefusalReason.RECOVERING)
            await anyio.sleep(ACT_POLL_S)

    def accept(
        self,
        task: TaskToStart,
        message: StartTasks,
        deadline: float,
        reservation: str,
    ) -> Attempt | TaskReport:
        """Return the attempt to wait for, or the report of a settled one."""
        key = (task.task_id, task.attempt)
        if key in self.attempts:
            return self.attempts[key]
        if key in self.remembered:
            return self.remembered[key][0]
        attempt = Attempt(
            make_demand(task), message.ledger, message.ledger_epoch, deadline, task.args
        )
        if task.resources.is_negative():
            self.refuse(attempt, RefusalReason.BAD_REQUEST, "negative resources")
        elif key in self.barred:
            self.refuse(attempt, RefusalReason.BAD_REQUEST, "stopped before start")
        elif self.draining:
            self.refuse(attempt, RefusalReason.DRAINING)
        elif message.ledger_epoch < self.ledger_epochs[message.ledger]:
            self.refuse(attempt, RefusalReason.OLD_EPOCH)
        elif task.task_id in self.live:
            self.refuse(
                attempt, RefusalReason.BAD_REQUEST, "another attempt of the task runs"
            )
        else:
            self.admit(attempt, reservation)
        return attempt

    def admit(self, attempt: Attempt, reservation: str) -> None:
        """Make an attempt live and place it."""
        if attempt.key[0] in self.live:
            raise InvariantViolation(f"task {attempt.key[0]} has a live attempt")
        self.attempts[attempt.key] = attempt
        self.live[attempt.key[0]] = attempt.key
        started = anyio.current_time()
        self.placer.place(attempt, reservation)
        self.metrics.record_seconds(
            "placement.decision", anyio.current_time() - started
        )

    def stop_tasks(self, message: StopTasks) -> Acknowledged:
        """Stop attempts; acknowledge those that surely do not run here."""
        self.check_message(message)
        settled = []
        for key in message.tasks:
            attempt = self.attempts.get(key)
            if attempt is None:
                # A delayed start of the attempt must not run after the stop. It is not
                # settled while it may run on a worker that was not heard.
                end = anyio.current_time() + MEMORY_S
                if key in self.remembered or self.is_complete():
                    settled.append(key)
                    report = TaskReport(*key, TaskReportState.REFUSED, "", "stopped")
                    self.remembered.setdefault(key, (report, end))
                else:
                    self.barred[key] = end
                continue
            attempt.stop_requested = True
            if attempt.is_unsent:
                self.refuse(attempt, RefusalReason.BAD_REQUEST, "stopped before start")
                settled.append(key)
            elif attempt.state == AttemptState.RUNNING:
                link = self.links[attempt.worker]
                link.preempting.pop(key, None)
                link.actions[key] = TaskActionKind.STOP
                link.notify()
        return Acknowledged(tuple(settled))

    def list_tasks(self, message: TasksOfLedger) -> RackTasks:
        """Report all attempts of a ledger and withdraw unsent ones of older epochs."""
        self.check_message(message)
        for attempt in list(self.attempts.values()):
            older = attempt.ledger_epoch < message.ledger_epoch
            if attempt.ledger == message.ledger and older and attempt.is_unsent:
                self.refuse(attempt, RefusalReason.OLD_EPOCH)
        reports = tuple(
            attempt.make_report()
            for attempt in self.attempts.values()
            if attempt.ledger == message.ledger
        )
        return RackTasks(
            self.context.shard,
            self.context.epoch,
            reports,
            self.measure_incomplete_ms(),
            self.summarize(),
        )

    def reserve_tasks(self, message: ReserveTasks) -> ReserveReply:
        """Reserve room for tasks of a gang."""
        self.check_message(message)
        self.check_rack_epoch(message)
        if self.draining:
            raise self.reject(RefusalReason.DRAINING)
        now = anyio.current_time()
        reserved = self.engine.reserve(
            make_reservation_name(message.ledger, message.reservation_id),
            [make_demand(task) for task in message.tasks],
            now + message.left_ms / 1000,
            now,
        )
        reason = ""
        if reserved < len(message.tasks):
            reason = str(RefusalReason.NO_CAPACITY)
            self.metrics.refuse(PART, RefusalReason.NO_CAPACITY)
        return ReserveReply(reserved, reason, self.summarize())

    # --- state ----------------------------------------------------------------------

    def measure_incomplete_ms(self) -> int:
        """Return for how long unheard workers may still run unknown tasks.

        A worker that was heard once by this process has no unknown tasks.
        """
        now = anyio.current_time()
        end = self.listed_at
        if self.may_miss_workers():
            end = max(end, min(self.inherited_end, self.context.list_trusted_at()))
        for link in self.links.values():
            if not link.heard:
                end = max(end, link.lease_end)
        return max(0, int((end - now) * 1000) + 1) if end > now else 0

    def may_miss_workers(self) -> bool:
        """Tell whether a worker unknown here may hold tasks of an earlier owner.

        Unless the earlier owner named all its workers, any that no listing has shown
        since this process started may.
        """
        inherited = self.context.inherited_workers
        return inherited is None or any(name not in self.links for name in inherited)

    def export_workers(self) -> tuple[str, ...] | None:
        """Name all workers that may hold tasks, or None if some may be unknown."""
        return tuple(sorted(self.links)) if self.is_complete() else None

    def is_complete(self) -> bool:
        """Tell whether this process knows all attempts on the rack."""
        return self.measure_incomplete_ms() == 0

    def is_ready(self) -> bool:
        """Tell whether attempts can be placed on the workers heard so far.

        Attempts first sent under this epoch were never sent to an earlier owner, and a
        ledger sends a later attempt of a task only after the earlier one is settled,
        so a silent worker runs none of their tasks. A service restarted under the same
        epoch may have started such attempts itself, so it waits for all workers.
        """
        if self.is_complete():
            return True
        if self.context.restarts or not self.links:
            return False
        # Trying all workers first keeps the first one heard from getting all the work.
        return all(link.tried for link in self.links.values()) and any(
            room.indexed is not None for room in self.engine.workers.values()
        )

    async def drain(self) -> None:
        """Stop starting work and wait for starts in flight.

        Renewals and inventories go on, so that tasks keep their leases if the handoff
        is delayed; a new owner counts on renewals by its predecessor.
        """
        self.draining = True
        for attempt in list(self.attempts.values()):
            if attempt.is_unsent:
                self.refuse(attempt, RefusalReason.DRAINING)
        while any(link.is_starting for link in self.links.values()):
            self.starts_answered = anyio.Event()
            await self.starts_answered.wait()

    def summarize(self) -> RackSummary:
        """Return the capacity of the rack for job managers."""
        capacity = free = largest_free = largest = preemptible = Resources()
        count = 0
        for room in self.engine.workers.values():
            if room.indexed is None:
                continue
            count += 1
            capacity += room.capacity
            free += room.free
            largest_free = larger_of(largest_free, room.free)
            largest = larger_of(largest, room.capacity)
            for held in room.tasks.values():
                if held.demand.priority == Priority.BATCH:
                    preemptible += held.reserved
        data_centre = self.context.shard.split("/")[1]
        return RackSummary(
            shard=self.context.shard,
            epoch=self.context.epoch,
            data_centre=data_centre,
            workers=count,
            capacity=capacity,
            free=free,
            largest_free=largest_free,
            largest_worker=largest,
            preemptible=preemptible,
            ready=self.is_ready() and not self.draining,
        )

    def explain(self, subject: str, name: str) -> Explanation:
        """Explain the tasks of a job on this rack, or the rack itself."""
        return explain(self, subject, name)


def make_demand(task: TaskToStart) -> Demand:
    """Return the placement demand of a task to start."""
    return Demand(
        key=(task.task_id, task.attempt),
        service=task.service,
        resources=task.resources,
        priority=task.priority,
        spread=task.spread,
    )


def make_reservation_name(ledger: str, reservation_id: str) -> str:
    """Return the name of a reservation, unique across ledgers."""
    return f"{ledger}:{reservation_id}"
