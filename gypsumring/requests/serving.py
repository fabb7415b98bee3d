"""Serve one request from admission to answer."""

import hashlib
from collections.abc import Callable, Iterable

import anyio
import logbook
import msgspec

from gypsumring.documents import DocumentInForce, RequestHandling
from gypsumring.exceptions import PortError
from gypsumring.messages.peer import KeyDecision
from gypsumring.metrics import Metrics, RefusalReason, RetryReason
from gypsumring.ports import (
    AnswerMismatched,
    AnswerTruncated,
    ExecutorAnswer,
    ExecutorRequest,
    ExecutorTimeout,
    ExecutorUnreachable,
    VmEntry,
)
from gypsumring.requests.answers import Answer, Answered, Refused, Unknown
from gypsumring.requests.budget import RetryBudget
from gypsumring.requests.exceptions import RequestRefused
from gypsumring.requests.holding import Permit, SlotHolder
from gypsumring.requests.key_client import KeyClient
from gypsumring.requests.queue import QueueEntry, RequestQueue

__all__ = ["RequestPool", "ServiceRequest", "check_answer", "serve_request"]

log = logbook.Logger("requests")

# Statuses from here on are the executor's own failures.
FIRST_ERROR_STATUS = 500


class ServiceRequest(msgspec.Struct, frozen=True, kw_only=True):
    """Hold one admitted request; ``deadline`` is monotonic, in seconds."""

    request_id: str
    in_force: DocumentInForce
    method: str
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    key: str
    deadline: float

    @property
    def service(self) -> str:
        """Return the name of the service."""
        return self.in_force.document.name

    @property
    def handling(self) -> RequestHandling:
        """Return how the service's document wants requests handled."""
        return self.in_force.document.work

    @property
    def digest(self) -> str:
        """Return the digest that tells requests with the same key apart."""
        digest = hashlib.sha256(f"{self.method} {self.path}\0".encode())
        digest.update(self.body)
        return digest.hexdigest()


class Attempt:
    """Hold the result of sending a request to one executor.

    ``is_left`` tells that nobody waits for it, so that its task records the outcome.
    """

    __slots__ = ("answer", "error", "finished", "is_left")

    def __init__(self):
        self.is_left = False
        self.answer: ExecutorAnswer | None = None
        self.error: PortError | None = None
        self.finished = anyio.Event()


class RequestPool:
    """Join the queue, the permits and the retry budgets of one pool of executors.

    ``in_flight`` counts attempts that have not finished, whether or not their caller
    still waits; a drain ends when it is zero.
    """

    __slots__ = (
        "budgets",
        "holder",
        "in_flight",
        "metrics",
        "queue",
        "task_group",
    )

    def __init__(
        self,
        make_holder: Callable[..., SlotHolder],
        queue_limit: int,
        shares: dict[str, int],
        metrics: Metrics,
    ):
        self.queue = RequestQueue(queue_limit, shares)
        self.holder = make_holder(
            count_queued=lambda: self.queue.length, on_change=self.assign_permits
        )
        self.budgets: dict[str, RetryBudget] = {}
        self.metrics = metrics
        self.in_flight = 0
        self.task_group: anyio.abc.TaskGroup | None = None

    async def run(self) -> None:
        """Renew permits and run attempts until cancelled."""
        async with anyio.create_task_group() as task_group:
            self.task_group = task_group
            await self.holder.run()

    def update_vms(self, vms: Iterable[VmEntry]) -> None:
        """Apply the VM list."""
        self.holder.update_vms(vms)

    def assign_permits(self) -> None:
        """Hand free permits to waiting requests in fair order."""
        self.queue.shed(anyio.current_time())
        while True:
            for entry in self.queue.candidates():
                permit = self.holder.acquire(
                    entry.deadline, entry.avoid, entry.repeatable
                )
                if permit is not None:
                    self.queue.start(entry, permit)
                    break
            else:
                return

    def make_entry(
        self, request: ServiceRequest, avoid: frozenset[str] = frozenset()
    ) -> QueueEntry:
        """Return the queue entry of a request; raise RequestRefused."""
        if not self.holder.executors:
            raise RequestRefused(RefusalReason.NO_EXECUTOR)
        handling = request.handling
        team = request.in_force.document.team
        self.queue.lane(request.service, team, handling.concurrency)
        return QueueEntry(
            request.service, team, request.deadline, handling.repeatable, avoid
        )

    def check_admission(self, request: ServiceRequest) -> None:
        """Raise RequestRefused for a request that the queue would shed.

        Called before a key is claimed, as a claim and its abandonment cost two
        records on the log.
        """
        self.queue.check_deadline(
            self.make_entry(request), anyio.current_time(), self.holder.usable_slots()
        )

    async def wait_for_permit(
        self, request: ServiceRequest, avoid: frozenset[str]
    ) -> Permit:
        """Queue for a permit; raise RequestRefused at the deadline at the latest."""
        entry = self.make_entry(request, avoid)
        now = anyio.current_time()
        self.queue.enter(entry, now, self.holder.usable_slots())
        self.assign_permits()
        if not entry.ready.is_set():
            self.holder.request_renewal()
        try:
            with anyio.move_on_at(request.deadline):
                await entry.ready.wait()
        except BaseException:
            self.leave(entry)
            raise
        if entry.refusal is not None:
            raise entry.refusal
        if entry.permit is None:
            self.queue.remove(entry)
            raise RequestRefused(self.shortage_reason(request.service))
        waited_s = anyio.current_time() - now
        self.metrics.record_seconds("requests.queued", waited_s)
        return entry.permit

    def leave(self, entry: QueueEntry) -> None:
        """Take a request whose caller hung up out of the queue."""
        self.metrics.count("requests.hung_up_in_queue")
        self.queue.remove(entry)
        if entry.permit is not None:
            self.queue.finish(entry.service)
            self.holder.release(entry.permit)

    def shortage_reason(self, service: str) -> RefusalReason:
        """Tell why a request got no permit."""
        lane = self.queue.lanes[service]
        if lane.in_flight >= lane.limit:
            return RefusalReason.CONCURRENCY_LIMIT
        return self.holder.shortage_reason()

    def budget(self, request: ServiceRequest) -> RetryBudget:
        """Return the retry budget of a service with the percentage in force."""
        percent = request.handling.retry_budget_percent
        budget = self.budgets.get(request.service)
        if budget is None or budget.fraction != percent / 100:
            budget = self.budgets[request.service] = RetryBudget(percent)
        return budget

    def start_attempt(self, request: ServiceRequest, permit: Permit) -> Attempt:
        """Send a request in a task that outlives a caller who hangs up."""
        attempt = Attempt()
        self.in_flight += 1
        self.task_group.start_soon(self.run_attempt, request, permit, attempt)
        return attempt

    async def run_attempt(
        self, request: ServiceRequest, permit: Permit, attempt: Attempt
    ) -> None:
        """Send a request and keep its slot in use until the executor has finished."""
        sent_at = anyio.current_time()
        try:
            try:
                attempt.answer = await self.send(request, permit)
            except PortError as error:
                attempt.error = error
            seconds = anyio.current_time() - sent_at
            answer = attempt.answer
            if answer is not None and answer.status < FIRST_ERROR_STATUS:
                self.queue.lanes[request.service].note_time(seconds)
                self.holder.note_answer(permit, seconds)
            elif not self.was_cut_short(request, attempt, seconds):
                self.holder.note_failure(permit, seconds)
            attempt.finished.set()
            if isinstance(attempt.error, ExecutorTimeout):
                await self.holder.wait_until_finished(permit, request.request_id)
        finally:
            attempt.finished.set()
            self.in_flight -= 1
            self.queue.finish(request.service)
            self.holder.release(permit)

    def was_cut_short(
        self, request: ServiceRequest, attempt: Attempt, seconds: float
    ) -> bool:
        """Tell whether the caller's deadline left less time than answers take.

        Callers with short deadlines would otherwise get good executors ejected.
        """
        is_late = isinstance(attempt.error, ExecutorTimeout) and not isinstance(
            attempt.error, AnswerTruncated | AnswerMismatched
        )
        return is_late and seconds < self.queue.lanes[request.service].likely_s

    async def send(self, request: ServiceRequest, permit: Permit) -> ExecutorAnswer:
        """Return the whole answer of the executor; raise PortError."""
        try:
            with anyio.fail_at(request.deadline):
                answer = await permit.executor.client.send(
                    ExecutorRequest(
                        request_id=request.request_id,
                        service=request.service,
                        method=request.method,
                        path=request.path,
                        headers=request.headers,
                        body=request.body,
                    ),
                    request.handling.max_response_bytes,
                    request.deadline,
                )
        except TimeoutError as error:
            raise ExecutorTimeout("no answer by the deadline") from error
        check_answer(request, answer)
        return answer


def check_answer(request: ServiceRequest, answer: ExecutorAnswer) -> None:
    """Raise AnswerMismatched or AnswerTruncated unless the answer is whole."""
    if answer.request_id != request.request_id:
        raise AnswerMismatched(f"answer to another request {answer.request_id!r}")
    if len(answer.body) > request.handling.max_response_bytes:
        raise AnswerTruncated("the answer exceeds max_response_bytes")
    has_body = request.method != "HEAD" and answer.status not in (204, 304)
    for name, value in answer.headers:
        if name.lower() == "content-length" and has_body:
            if value != str(len(answer.body)):
                raise AnswerTruncated(f"{len(answer.body)} of {value} bytes")


def give_retry_reason(error: PortError | None) -> RetryReason:
    """Return why an attempt is repeated."""
    match error:
        case ExecutorUnreachable():
            return RetryReason.EXECUTOR_UNREACHABLE
        case AnswerMismatched():
            return RetryReason.ANSWER_MISMATCHED
        case AnswerTruncated():
            return RetryReason.ANSWER_TRUNCATED
        case ExecutorTimeout():
            return RetryReason.EXECUTOR_TIMEOUT
    return RetryReason.TASK_FAILED


async def serve_request(
    pool: RequestPool, keys: KeyClient, request: ServiceRequest
) -> Answer:
    """Serve an admitted request by its deadline.

    A request that may not be repeated is sent only after its key was granted, and is
    never sent again once an executor may have received it.
    """
    started_at = anyio.current_time()
    answer = await serve_by_class(pool, keys, request)
    match answer:
        case Answered():
            pool.metrics.count("requests.answered")
        case Refused(reason=reason):
            pool.metrics.refuse("requests", reason)
        case Unknown():
            pool.metrics.count("requests.unknown")
    pool.metrics.record_seconds("requests.served", anyio.current_time() - started_at)
    return answer


async def serve_by_class(
    pool: RequestPool, keys: KeyClient, request: ServiceRequest
) -> Answer:
    """Serve a repeatable request directly and others under their key."""
    if request.handling.repeatable:
        return await send_with_retries(pool, request)
    if not request.key:
        return Refused(RefusalReason.KEY_REQUIRED, "header gypsumring-key is missing")
    try:
        pool.check_admission(request)
    except RequestRefused as refusal:
        return Refused(refusal.reason, refusal.detail, refusal.retry_after_s)
    # The intent id is the request id: a repeated claim of this request, and only
    # that, is the same intent.
    intent_id = request.request_id
    try:
        verdict = await keys.claim(
            request.service, request.key, request.digest, intent_id, request.deadline
        )
    except RequestRefused as refusal:
        keys.abandon(request.service, request.key, intent_id)
        return Refused(refusal.reason, refusal.detail, refusal.retry_after_s)
    except BaseException:
        keys.abandon(request.service, request.key, intent_id)
        raise
    match verdict.decision:
        case KeyDecision.ANSWERED:
            return Answered(verdict.status, verdict.headers, verdict.body)
        case KeyDecision.UNKNOWN:
            return Unknown(verdict.reason or "an earlier request may have run")
        case KeyDecision.CONFLICT:
            return Refused(
                RefusalReason.KEY_CONFLICT, "the key was used for another request"
            )
        case KeyDecision.NOT_RUN:
            # The intent may appear in the log late; it must not block the key.
            keys.abandon(request.service, request.key, intent_id)
            return Refused(RefusalReason.LOG_UNAVAILABLE, verdict.reason, 1)

    def record(answer: Answer) -> None:
        match answer:
            case Answered(status, headers, body):
                keys.complete(
                    request.service, request.key, intent_id, status, headers, body
                )
            case Unknown():
                keys.complete(request.service, request.key, intent_id, 0, (), b"")
            case Refused():
                keys.abandon(request.service, request.key, intent_id)

    return await send_once(pool, request, record)


async def send_with_retries(pool: RequestPool, request: ServiceRequest) -> Answer:
    """Send a repeatable request, again on failure while the budget lasts."""
    budget = pool.budget(request)
    budget.earn()
    avoid: frozenset[str] = frozenset()
    last: Answer | None = None
    while True:
        try:
            permit = await pool.wait_for_permit(request, avoid)
        except RequestRefused as refusal:
            if last is not None:
                return last
            return Refused(refusal.reason, refusal.detail, refusal.retry_after_s)
        attempt = pool.start_attempt(request, permit)
        with anyio.move_on_at(request.deadline):
            await attempt.finished.wait()
        answer = attempt.answer
        if answer is not None:
            last = Answered(answer.status, answer.headers, answer.body)
            if answer.status < FIRST_ERROR_STATUS:
                return last
        elif not isinstance(attempt.error, ExecutorUnreachable):
            last = last or Unknown(str(attempt.error or "no answer by the deadline"))
        if anyio.current_time() >= request.deadline:
            return last or Refused(RefusalReason.NO_EXECUTOR, str(attempt.error), 1)
        if not budget.spend():
            pool.metrics.count("requests.retry_budget_empty")
            return last or Refused(
                RefusalReason.RETRY_BUDGET_EMPTY, str(attempt.error), 1
            )
        pool.metrics.retry("requests", give_retry_reason(attempt.error))
        avoid = avoid | {permit.executor.vm.name}


async def send_once(
    pool: RequestPool, request: ServiceRequest, record: Callable[[Answer], None]
) -> Answer:
    """Send a request that may not be repeated; only an unsent one is sent again.

    ``record`` gets the final answer even when the caller has hung up.
    """
    budget = pool.budget(request)
    budget.earn()
    avoid: frozenset[str] = frozenset()
    while True:
        try:
            permit = await pool.wait_for_permit(request, avoid)
        except RequestRefused as refusal:
            answer = Refused(refusal.reason, refusal.detail, refusal.retry_after_s)
            record(answer)
            return answer
        except BaseException:
            # The caller hung up before the request was sent.
            record(Refused(RefusalReason.NO_CAPACITY))
            raise
        attempt = pool.start_attempt(request, permit)
        pool.task_group.start_soon(record_when_finished, attempt, record)
        try:
            with anyio.move_on_at(request.deadline):
                await attempt.finished.wait()
        except BaseException:
            attempt.is_left = True
            raise
        if not attempt.finished.is_set():
            attempt.is_left = True
            return Unknown("no answer by the deadline")
        answer = classify_attempt(attempt)
        if not isinstance(answer, Refused):
            return answer
        if anyio.current_time() >= request.deadline or not budget.spend():
            record(answer)
            return answer
        pool.metrics.retry("requests", RetryReason.EXECUTOR_UNREACHABLE)
        avoid = avoid | {permit.executor.vm.name}


def classify_attempt(attempt: Attempt) -> Answer:
    """Return the answer class of a finished attempt."""
    if attempt.answer is not None:
        answer = attempt.answer
        return Answered(answer.status, answer.headers, answer.body)
    if isinstance(attempt.error, ExecutorUnreachable):
        return Refused(RefusalReason.NO_EXECUTOR, str(attempt.error), 1)
    return Unknown(str(attempt.error))


async def record_when_finished(
    attempt: Attempt, record: Callable[[Answer], None]
) -> None:
    """Record the outcome of an attempt that may have run or that nobody waits for."""
    await attempt.finished.wait()
    answer = classify_attempt(attempt)
    if attempt.is_left or not isinstance(answer, Refused):
        record(answer)
