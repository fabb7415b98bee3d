"""ASGI application for callers, the readiness check and metrics."""

import math
import re
from collections.abc import Callable, Iterable
from typing import Any

import anyio
import msgspec

from gypsumring.accounts import UnknownKey
from gypsumring.cell.messages import (
    CancelJob,
    Command,
    CountWaiting,
    JobAnswer,
    Outcome,
    QueryJob,
    SubmitJob,
)
from gypsumring.door import BodyCollector, BodyRefused
from gypsumring.node.node import Node
from gypsumring.pipelines import DesiredState, PipelineSpec, Queue
from gypsumring.platform import (
    decode_submission,
    encode_phase,
    encode_waiting,
    read_account_key,
    read_time_limit_s,
)
from gypsumring.platform.exceptions import WireError
from gypsumring.utils.clock import unix_ms
from gypsumring.utils.logs import EventLogger
from gypsumring.utils.supervision import describe_error

__all__ = ["NodeApp"]

log = EventLogger("callers")

READY_PATH = "/-/ready"
METRICS_PATH = "/-/metrics"
JOB_ID = re.compile(r"[0-9a-f]{16}\Z")
# Part of the caller's time limit that is reserved for sending the response.
ANSWER_MARGIN_S = 0.15
NO_STATE_RETRY_AFTER_S = 1.0
# int() refuses numbers of thousands of digits.
MAX_LENGTH_DIGITS = 18
NO_MEMORY_RETRY_AFTER_S = 1.0
# A node reads a version that others have within about this time.
BEHIND_RETRY_AFTER_S = 1.0


class Response:
    """HTTP response: status, body and the delay for its Retry-After header."""

    __slots__ = ("body", "retry_after_s", "status")

    def __init__(self, status: int, body: bytes = b"{}", retry_after_s: float = 0.0):
        self.status = status
        self.body = body
        self.retry_after_s = retry_after_s


def make_error_response(
    status: int, reason: str, retry_after_s: float = 0.0
) -> Response:
    """Return an error response that states the reason."""
    return Response(status, msgspec.json.encode({"error": reason}), retry_after_s)


class NodeApp:
    """ASGI application that forwards the requests of callers to the node."""

    __slots__ = ("node",)

    def __init__(self, node: Node):
        self.node = node

    async def __call__(self, scope: dict[str, Any], receive: Any, send: Any) -> None:
        """Handle one request."""
        if scope["type"] != "http":
            return
        if scope["path"] == READY_PATH:
            await respond(send, Response(200 if self.node.is_ready() else 503))
            return
        if scope["path"] == METRICS_PATH and self.is_internal(scope):
            text = self.node.metrics.render_text().encode()
            await respond(send, Response(200, text))
            return
        response = await self.serve_or_report_error(scope, receive)
        if response is not None:
            await respond(send, response)

    async def serve_or_report_error(
        self, scope: dict[str, Any], receive: Any
    ) -> Response | None:
        """Return the response to a caller, 504 after an internal error."""
        try:
            return await self.serve(scope, receive)
        except Exception as error:
            self.node.metrics.count("node.requests.broken")
            log.error(
                "request failed",
                method=scope["method"],
                path=scope["path"],
                **describe_error(error),
            )
            return make_error_response(504, "outcome unknown")

    def is_internal(self, scope: dict[str, Any]) -> bool:
        """Return whether a request arrived at an address other than the callers'."""
        server = scope.get("server")
        return server is None or (
            f"{server[0]}:{server[1]}" != self.node.settings.caller_address
        )

    async def serve(self, scope: dict[str, Any], receive: Any) -> Response | None:
        """Route a request by queue, path and method and return its response."""
        headers = dict(scope["headers"])
        deadline = anyio.current_time() + read_time_limit_s(headers) - ANSWER_MARGIN_S
        desired = self.node.desired.current
        if desired is None:
            return make_error_response(
                503, "no desired state yet", NO_STATE_RETRY_AFTER_S
            )
        host = headers.get(b"host", b"").decode("latin-1").partition(":")[0]
        queue = desired.match_queue(host, scope["path"])
        if queue is None:
            return self.refuse_without_queue(scope["path"], desired)
        try:
            account = self.identify_account(queue, desired, scope["headers"])
        except WireError as error:
            self.node.metrics.count("node.refused.ambiguous_key")
            return make_error_response(400, str(error))
        except UnknownKey as error:
            self.node.metrics.count("node.refused.unknown_key")
            log.info("request refused", queue=queue.name, reason=str(error))
            return make_error_response(401, str(error))
        job_id = scope["path"][len(queue.path_prefix) :]
        method = scope["method"]
        if method == "GET" and not job_id:
            log.info(
                "jobs counted",
                path=scope["path"],
                queue=queue.name,
                version=desired.version,
            )
            command = CountWaiting(queue.name, desired.version)
            return await self.forward(command, deadline, render_waiting)
        if not JOB_ID.match(job_id):
            return make_error_response(400, "id: not 16 hexadecimal digits")
        match method:
            case "POST":
                return await self.submit(
                    queue,
                    job_id,
                    account,
                    desired,
                    receive,
                    headers.get(b"content-length", b""),
                    deadline,
                )
            case "GET":
                query = QueryJob(job_id, account, queue.name, desired.version)
                return await self.forward(query, deadline, render_phase)
            case "DELETE":
                time_limit_s = deadline - anyio.current_time()
                cancel = CancelJob(
                    job_id, time_limit_s, account, queue.name, desired.version
                )
                return await self.forward(cancel, deadline, render_cancel)
        return make_error_response(405, "method not allowed")

    async def forward(
        self,
        command: Command,
        deadline: float,
        render: Callable[[JobAnswer], Response],
    ) -> Response:
        """Forward a command and return the response for its answer."""
        answer = await self.node.forward(command, deadline)
        match answer.outcome:
            case Outcome.NO_QUEUE:
                return make_error_response(404, "no such queue")
            case Outcome.NO_ACCOUNT:
                return make_error_response(401, "unknown or missing key")
        return render(answer)

    def refuse_without_queue(self, path: str, desired: DesiredState) -> Response:
        """Return the response to a request for which this node knows no queue.

        While a newer version is on its way, the queue may be one that it adds.
        """
        if self.node.is_behind():
            reason = "a newer desired state is being read"
            self.node.metrics.count("node.refused.behind")
            response = make_error_response(503, reason, BEHIND_RETRY_AFTER_S)
        else:
            reason = "no such queue"
            self.node.metrics.count("node.refused.no_queue")
            response = make_error_response(404, reason)
        log.info("request refused", path=path, reason=reason, version=desired.version)
        return response

    def identify_account(
        self,
        queue: Queue,
        desired: DesiredState,
        headers: Iterable[tuple[bytes, bytes]],
    ) -> str | None:
        """Return the account of a request, None without accounts, empty for nobody.

        Raise UnknownKey if the queue needs a key that the request does not have, and
        WireError if it has several. The key is checked for each request, since a
        connection may outlive it.
        """
        if desired.accounts is None:
            return None
        account = self.node.desired.key_ring.find_account(read_account_key(headers))
        if account is not None:
            return account.name
        if queue.public:
            return ""
        raise UnknownKey("unknown or missing key")

    async def submit(
        self,
        queue: Queue,
        job_id: str,
        account: str | None,
        desired: DesiredState,
        receive: Any,
        declared_bytes: bytes,
        deadline: float,
    ) -> Response | None:
        """Validate a submission, forward it and return the response."""
        try:
            body = await read_body(receive, desired.max_body_bytes, declared_bytes)
        except BodyRefused as refusal:
            return make_error_response(503, str(refusal), NO_MEMORY_RETRY_AFTER_S)
        if body is None:
            return make_error_response(413, "body: too large or not complete")
        try:
            submission = decode_submission(body)
        except WireError as error:
            self.node.metrics.count("node.refused.bad_request")
            log.info("job refused", job=job_id, queue=queue.name, reason=str(error))
            return make_error_response(400, str(error))
        del body
        spec = PipelineSpec(
            job_id=job_id,
            queue=queue.name,
            service=queue.service,
            accepted_ms=unix_ms(),
            payload=submission.payload,
            steps=submission.steps,
            start_at_ms=submission.schedule.start_at_ms,
            interval_ms=submission.schedule.interval_ms,
            repeats=submission.schedule.repeats,
            account=account or "",
        )
        time_limit_s = deadline - anyio.current_time()
        command = SubmitJob(spec, time_limit_s, queue, desired.version)
        return await self.forward(command, deadline, render_submit)


def render_submit(answer: JobAnswer) -> Response:
    """Return the response to a submission."""
    match answer.outcome:
        case Outcome.OK:
            return Response(200)
        case Outcome.REFUSED:
            return make_error_response(503, "not accepted", answer.retry_after_s)
        case Outcome.OTHER_ACCOUNT:
            return make_error_response(409, "id in use")
    return make_error_response(504, "not known whether the job was accepted")


def render_phase(answer: JobAnswer) -> Response:
    """Return the response to a query for a job's phase."""
    match answer.outcome:
        case Outcome.OK:
            return Response(200, encode_phase(answer.phase))
        case Outcome.UNKNOWN_JOB:
            return make_error_response(410, "no such job")
    return make_error_response(503, "owner not reached", 1.0)


def render_cancel(answer: JobAnswer) -> Response:
    """Return the response to a cancellation."""
    match answer.outcome:
        case Outcome.OK:
            return Response(200)
        case Outcome.UNKNOWN_JOB:
            return make_error_response(410, "no such job")
        case Outcome.REFUSED:
            return make_error_response(503, "owner not reached", 1.0)
    return make_error_response(504, "not known whether the job was cancelled")


def render_waiting(answer: JobAnswer) -> Response:
    """Return the response to a query for the waiting jobs of a queue."""
    if answer.outcome is Outcome.OK:
        return Response(200, encode_waiting(answer.count))
    return make_error_response(503, "owner not reached", 1.0)


async def read_body(
    receive: Any, max_bytes: int, declared_bytes: bytes = b""
) -> bytes | None:
    """Return the body, or None if it is too large or the caller disconnects.

    ``declared_bytes`` is the value of Content-Length, empty without it.
    """
    if len(declared_bytes) > MAX_LENGTH_DIGITS or (
        declared_bytes.isdigit() and int(declared_bytes) > max_bytes
    ):
        return None
    body = BodyCollector()
    while True:
        event = await receive()
        if event["type"] != "http.request":
            return None
        body.add(event["body"])
        if body.size > max_bytes:
            return None
        if not event.get("more_body"):
            return body.join()


async def respond(send: Any, response: Response) -> None:
    """Send a complete response."""
    headers = [
        (b"content-type", b"application/json"),
        (b"content-length", str(len(response.body)).encode()),
    ]
    if response.retry_after_s > 0:
        seconds = max(1, math.ceil(response.retry_after_s))
        headers.append((b"retry-after", str(seconds).encode()))
    await send(
        {"type": "http.response.start", "status": response.status, "headers": headers}
    )
    await send({"type": "http.response.body", "body": response.body})
