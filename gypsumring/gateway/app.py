"""ASGI application of the gateway: routes and their handlers."""

import hashlib
import hmac
import re
import urllib.parse
from typing import Any, TypeVar

import anyio
import logbook
import msgspec

from gypsumring.documents import (
    MAX_DOCUMENT_BYTES,
    BatchRuns,
    DocumentError,
    GangRuns,
    NotAccepted,
    RequestHandling,
    VersionConflict,
)
from gypsumring.gateway.exceptions import CallerGone, HttpRefused
from gypsumring.gateway.http import (
    MAX_HEADER_BYTES,
    HttpRequest,
    HttpResponse,
    Receive,
    Send,
    make_error_response,
    make_json_response,
    make_service_response,
    make_unknown_response,
    read_body,
    send_response,
)
from gypsumring.messages.peer import (
    CancelJobs,
    Explain,
    Explanation,
    JobReply,
    PeerReply,
    QueryJob,
    SubmitJob,
)
from gypsumring.messages.work import BatchWork, GangWork, JobSpec, JobState
from gypsumring.metrics import RefusalReason
from gypsumring.requests import (
    OutcomeUnknown,
    RequestRefused,
    ServiceRequest,
    serve_request,
)
from gypsumring.utils.decoding import DECODE_ERRORS
from gypsumring.utils.hashing import choose_ledger

__all__ = ["GatewayApp", "JobCancellation", "JobSubmission"]

log = logbook.Logger("gateway")

# Time for a call that names no deadline of its own, such as publishing a document.
CALL_S = 10.0
MAX_JOB_BYTES = 8 * 1024 * 1024
MAX_KEY_LENGTH = 200
MAX_DEADLINE_DIGITS = 9

BodyType = TypeVar("BodyType")


class JobSubmission(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """Submit a job to a service whose document describes its tasks."""

    job_id: str
    service: str
    task_count: int = 1
    task_args: tuple[str, ...] = ()


class JobCancellation(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """Cancel jobs of the caller's team."""

    job_ids: tuple[str, ...]


class GatewayApp:
    """Answer HTTP requests on behalf of a gateway node."""

    def __init__(self, node):
        self.node = node
        self.active = 0

    async def __call__(
        self, scope: dict[str, Any], receive: Receive, send: Send
    ) -> None:
        """Serve one ASGI connection scope."""
        match scope["type"]:
            case "http":
                await self.serve_http(scope, receive, send)
            case "lifespan":
                await serve_lifespan(receive, send)
            case "websocket":
                await send({"type": "websocket.close", "code": 1003})

    async def serve_http(
        self, scope: dict[str, Any], receive: Receive, send: Send
    ) -> None:
        """Answer one HTTP request."""
        request = HttpRequest.from_scope(scope)
        self.active += 1
        try:
            try:
                response = await self.respond(request, receive)
            except HttpRefused as refusal:
                self.node.metrics.refuse("gateway", refusal.reason)
                response = make_error_response(refusal)
            except OutcomeUnknown as error:
                self.node.metrics.count("gateway.unknown")
                response = make_unknown_response(str(error))
            if response is None:
                self.node.metrics.count("gateway.caller_gone")
                return
            await send_response(response, send, request.method == "HEAD")
        except CallerGone:
            # Without a complete response the server closes the connection.
            self.node.metrics.count("gateway.caller_gone")
        finally:
            self.active -= 1

    async def respond(
        self, request: HttpRequest, receive: Receive
    ) -> HttpResponse | None:
        """Return the response, or None when the caller hung up."""
        parts = request.path.strip("/").split("/")
        match request.method, parts:
            case "GET", ["health"]:
                return self.health()
            case "GET", ["metrics"]:
                return make_json_response(self.node.snapshot_metrics())
            case "GET", ["status"]:
                return make_json_response(self.node.describe())
        header_bytes = sum(len(n) + len(v) for n, v in request.headers)
        if header_bytes > MAX_HEADER_BYTES:
            raise HttpRefused(
                RefusalReason.BAD_REQUEST, f"headers of {header_bytes} bytes"
            )
        if self.node.refuses_new:
            raise HttpRefused(RefusalReason.DRAINING, retry_after_s=1)
        # Twice the queue bounds the bodies in memory before they are queued.
        if self.active > 2 * self.node.settings.queue_limit:
            raise HttpRefused(RefusalReason.QUEUE_FULL, retry_after_s=1)
        match request.method, parts:
            case _, ["services", service, *_]:
                return await self.serve_service(request, service, receive)
            case "POST", ["jobs"]:
                return await self.submit_job(request, receive)
            case "POST", ["jobs", "cancel"]:
                return await self.cancel_jobs(request, receive)
            case "GET", ["jobs", team, job_id]:
                return await self.query_job(team, job_id)
            case "GET", ["documents"]:
                return self.list_documents()
            case "GET", ["documents", name]:
                return self.get_document(name)
            case "PUT", ["documents", name]:
                return await self.publish(request, name, receive)
            case "DELETE", ["documents", name]:
                return await self.withdraw(request, name)
            case "GET", ["explain", subject, *name] if name:
                return await self.explain(request, subject, "/".join(name))
        raise HttpRefused(
            RefusalReason.BAD_REQUEST,
            f"no endpoint {request.method} {request.path}",
            status=404,
        )

    def health(self) -> HttpResponse:
        """Tell the balancer whether to send requests here."""
        reason = self.node.unready_reason()
        if reason is None:
            return make_json_response({"ready": True})
        return make_json_response({"ready": False, "reason": str(reason)}, 503)

    # --- requests -------------------------------------------------------------------

    async def serve_service(
        self, request: HttpRequest, service: str, receive: Receive
    ) -> HttpResponse | None:
        """Pass a request to an executor of the service's pool."""
        arrived_at = anyio.current_time()
        in_force = self.node.documents.get(service)
        if in_force is None or not isinstance(in_force.document.work, RequestHandling):
            raise HttpRefused(
                RefusalReason.UNKNOWN_SERVICE, f"no service {service!r} takes requests"
            )
        handling = in_force.document.work
        deadline = arrived_at + read_deadline_ms(request, handling.deadline_ms) / 1000
        key = request.header("gypsumring-key")
        if len(key) > MAX_KEY_LENGTH:
            raise HttpRefused(
                RefusalReason.BAD_REQUEST,
                f"longer than {MAX_KEY_LENGTH} characters",
                "gypsumring-key",
            )
        if not handling.repeatable and not key:
            raise HttpRefused(
                RefusalReason.KEY_REQUIRED,
                "the service's requests may not be repeated and need a key",
                "gypsumring-key",
            )
        body = await read_body(request, receive, handling.max_request_bytes)
        path = request.path.split("/services/", 1)[1].partition("/")[2]
        quoted = "/" + urllib.parse.quote(path, safe="/:@!$&'()*+,;=~-._")
        served = ServiceRequest(
            request_id=self.node.make_request_id(),
            in_force=in_force,
            method=request.method,
            path=f"{quoted}?{request.query}" if request.query else quoted,
            headers=request.end_to_end_headers(),
            body=body,
            key=key,
            deadline=deadline,
        )
        pool = self.node.pool(handling.pool)
        answer = None
        async with anyio.create_task_group() as task_group:

            async def watch_caller() -> None:
                while (await receive())["type"] != "http.disconnect":
                    pass
                task_group.cancel_scope.cancel()

            task_group.start_soon(watch_caller)
            answer = await serve_request(pool, self.node.keys, served)
            task_group.cancel_scope.cancel()
        if answer is None:
            return None
        return make_service_response(answer, served.request_id)

    # --- jobs -----------------------------------------------------------------------

    async def submit_job(self, request: HttpRequest, receive: Receive) -> HttpResponse:
        """Accept a job, or tell why it can never run."""
        team = self.check_token(request)
        submission = await read_json(request, receive, MAX_JOB_BYTES, JobSubmission)
        spec = self.make_job_spec(team, submission)
        ledger = choose_ledger(team, self.node.settings.cell.ledgers)
        reply = await self.call_owner(
            ledger, lambda left_ms: SubmitJob(ledger, spec, left_ms)
        )
        jobs = expect_reply(reply, JobReply).jobs
        impossible = any(job.state is JobState.IMPOSSIBLE for job in jobs)
        return make_json_response({"jobs": jobs}, 422 if impossible else 202)

    def make_job_spec(self, team: str, submission: JobSubmission) -> JobSpec:
        """Complete a submission from the document in force; raise HttpRefused."""
        in_force = self.node.documents.get(submission.service)
        if in_force is None:
            raise HttpRefused(
                RefusalReason.UNKNOWN_SERVICE,
                f"no document {submission.service!r} is in force",
                "$.service",
            )
        document = in_force.document
        if document.team != team:
            raise HttpRefused(
                RefusalReason.TOKEN_INVALID,
                f"service {document.name!r} belongs to another team",
                "$.service",
            )
        if not re.fullmatch(r"[A-Za-z0-9][A-Za-z0-9._-]{0,99}", submission.job_id):
            raise HttpRefused(
                RefusalReason.BAD_REQUEST,
                "expected up to 100 letters, digits, '.', '_' and '-'",
                "$.job_id",
            )
        if not 1 <= submission.task_count <= 100_000:
            raise HttpRefused(
                RefusalReason.BAD_REQUEST, "expected 1 to 100000", "$.task_count"
            )
        if len(submission.task_args) not in (0, submission.task_count):
            raise HttpRefused(
                RefusalReason.BAD_REQUEST,
                "expected none or one for each task",
                "$.task_args",
            )
        runs = document.work
        if not isinstance(runs, BatchRuns | GangRuns):
            raise HttpRefused(
                RefusalReason.BAD_REQUEST,
                f"the document of {document.name!r} describes no jobs",
                "$.service",
            )
        finish_by = 0.0
        if runs.finish_within_ms:
            finish_by = self.node.unix_time() + runs.finish_within_ms / 1000
        return JobSpec(
            job_id=submission.job_id,
            team=team,
            service=document.name,
            document_version=in_force.version,
            priority=runs.priority,
            work=(
                BatchWork(finish_by)
                if isinstance(runs, BatchRuns)
                else GangWork(finish_by)
            ),
            task_count=submission.task_count,
            task_resources=runs.task.resources,
            declared_run_ms=runs.task.declared_run_ms,
            max_attempts=runs.task.max_attempts,
            task_runs_at_most_once=runs.task.at_most_once,
            task_args=submission.task_args,
        )

    async def cancel_jobs(self, request: HttpRequest, receive: Receive) -> HttpResponse:
        """Cancel jobs of the caller's team."""
        team = self.check_token(request)
        wanted = await read_json(request, receive, MAX_JOB_BYTES, JobCancellation)
        ledger = choose_ledger(team, self.node.settings.cell.ledgers)
        reply = await self.call_owner(
            ledger,
            lambda left_ms: CancelJobs(ledger, team, wanted.job_ids, team, left_ms),
        )
        return make_json_response({"jobs": expect_reply(reply, JobReply).jobs}, 202)

    async def query_job(self, team: str, job_id: str) -> HttpResponse:
        """Return the state of a job."""
        ledger = choose_ledger(team, self.node.settings.cell.ledgers)
        reply = await self.call_owner(
            ledger, lambda left_ms: QueryJob(ledger, team, job_id)
        )
        jobs = expect_reply(reply, JobReply).jobs
        if not jobs:
            raise HttpRefused(
                RefusalReason.UNKNOWN_JOB, f"team {team!r} has no job {job_id!r}"
            )
        return make_json_response(jobs[0])

    # --- documents ------------------------------------------------------------------

    def list_documents(self) -> HttpResponse:
        """List the documents in force."""
        listed = [
            {
                "name": in_force.document.name,
                "team": in_force.document.team,
                "version": in_force.version,
                "offset": in_force.offset,
            }
            for in_force in self.node.documents.list_documents()
        ]
        return make_json_response(
            {
                "documents": listed,
                "offset_in_force": self.node.documents.offset_in_force,
            }
        )

    def get_document(self, name: str) -> HttpResponse:
        """Return a document in force."""
        in_force = self.node.documents.get(name)
        if in_force is None:
            raise HttpRefused(
                RefusalReason.UNKNOWN_SERVICE, f"no document {name!r} is in force"
            )
        return make_json_response(in_force)

    async def publish(
        self, request: HttpRequest, name: str, receive: Receive
    ) -> HttpResponse:
        """Publish a document."""
        team = self.check_token(request)
        content = await read_body(request, receive, MAX_DOCUMENT_BYTES)
        try:
            document_name = msgspec.json.decode(content, type=DocumentName).name
        except DECODE_ERRORS as error:
            raise refuse_field(str(error)) from error
        if document_name != name:
            raise HttpRefused(
                RefusalReason.BAD_REQUEST, f"expected {name!r} as in the path", "$.name"
            )
        deadline = anyio.current_time() + CALL_S
        with translate_document_errors():
            version = await self.node.documents.publish(team, content, deadline, team)
        return make_json_response({"name": name, "version": version})

    async def withdraw(self, request: HttpRequest, name: str) -> HttpResponse:
        """Withdraw a document; the query names the version that the author saw."""
        team = self.check_token(request)
        query = urllib.parse.parse_qs(request.query)
        based_on = query.get("based_on", [""])[0]
        if not re.fullmatch(r"[0-9]{1,9}", based_on):
            raise HttpRefused(
                RefusalReason.BAD_REQUEST, "expected a version number", "based_on"
            )
        deadline = anyio.current_time() + CALL_S
        with translate_document_errors():
            version = await self.node.documents.withdraw(
                team, name, int(based_on), deadline, team
            )
        return make_json_response({"name": name, "version": version})

    # --- explaining -----------------------------------------------------------------

    async def explain(
        self, request: HttpRequest, subject: str, name: str
    ) -> HttpResponse:
        """Ask the owner to explain a job, a request or a shard."""
        ledgers = self.node.settings.cell.ledgers
        match subject:
            case "job":
                # A job is named by team/job_id: the team chooses the ledger.
                team, _, job_id = name.rpartition("/")
                team = team or request.header("gypsumring-team")
                shard, name = choose_ledger(team, ledgers), job_id
            case "request":
                shard = choose_ledger(name, ledgers)
            case "shard":
                shard, name = name, ""
            case _:
                raise HttpRefused(
                    RefusalReason.BAD_REQUEST, "expected job, request or shard"
                )
        reply = await self.call_owner(
            shard, lambda left_ms: Explain(shard, subject, name)
        )
        lines = expect_reply(reply, Explanation).lines
        owner = self.node.describe_owner(shard)
        return make_json_response({"shard": shard, "owner": owner, "lines": lines})

    # --- helpers --------------------------------------------------------------------

    def check_token(self, request: HttpRequest) -> str:
        """Return the caller's team; raise HttpRefused unless its token is right."""
        team = request.header("gypsumring-team")
        scheme, _, token = request.header("authorization").partition(" ")
        known = self.node.settings.cell.teams.get(team)
        # An unknown team takes the same time as a wrong token.
        expected = known.token_sha256 if known is not None else "0" * 64
        digest = hashlib.sha256(token.strip().encode("latin-1")).hexdigest()
        is_right = hmac.compare_digest(digest, expected)
        if not is_right or known is None or scheme.lower() != "bearer":
            raise HttpRefused(
                RefusalReason.TOKEN_INVALID, "the team or its token is not valid"
            )
        return team

    async def call_owner(self, shard: str, make_message) -> PeerReply:
        """Call the owner of a shard; raise HttpRefused or OutcomeUnknown."""
        deadline = anyio.current_time() + CALL_S
        try:
            return await self.node.caller.call(shard, make_message, deadline)
        except RequestRefused as refusal:
            raise HttpRefused(
                refusal.reason, refusal.detail, retry_after_s=refusal.retry_after_s
            ) from refusal


class DocumentName(msgspec.Struct):
    """Read only the name of a document."""

    name: str


class translate_document_errors:
    """Translate errors of the document store into HTTP errors."""

    def __enter__(self) -> None:
        return None

    def __exit__(self, kind, error, traceback) -> None:
        match error:
            case DocumentError():
                raise refuse_field(str(error)) from error
            case VersionConflict():
                raise HttpRefused(
                    RefusalReason.VERSION_CONFLICT, str(error), "$.based_on"
                ) from error
            case NotAccepted(may_take_effect=True):
                raise OutcomeUnknown(str(error)) from error
            case NotAccepted():
                raise HttpRefused(
                    RefusalReason.LOG_UNAVAILABLE, str(error), retry_after_s=1
                ) from error


def refuse_field(text: str) -> HttpRefused:
    """Return an error that names the field that msgspec reports."""
    found = re.search(r"at `(\$[^`]*)`", text)
    field = found.group(1) if found else "$"
    return HttpRefused(RefusalReason.BAD_REQUEST, text, field)


def read_deadline_ms(request: HttpRequest, longest_ms: int) -> int:
    """Return the caller's deadline, at most the service's; raise HttpRefused."""
    text = request.header("gypsumring-deadline-ms")
    if not text:
        return longest_ms
    if not re.fullmatch(rf"[0-9]{{1,{MAX_DEADLINE_DIGITS}}}", text) or int(text) == 0:
        raise HttpRefused(
            RefusalReason.BAD_REQUEST,
            "expected a positive number of milliseconds",
            "gypsumring-deadline-ms",
        )
    if int(text) > longest_ms:
        raise HttpRefused(
            RefusalReason.DEADLINE_TOO_LONG,
            f"the service allows {longest_ms} ms",
            "gypsumring-deadline-ms",
        )
    return int(text)


async def read_json(
    request: HttpRequest, receive: Receive, max_bytes: int, kind: type[BodyType]
) -> BodyType:
    """Read a JSON body of a type; raise HttpRefused that names the wrong field."""
    content = await read_body(request, receive, max_bytes)
    try:
        return msgspec.json.decode(content, type=kind)
    except DECODE_ERRORS as error:
        raise refuse_field(str(error)) from error


def expect_reply(reply: PeerReply, kind: type[BodyType]) -> BodyType:
    """Return a reply of the expected type; raise HttpRefused otherwise."""
    if not isinstance(reply, kind):
        raise HttpRefused(RefusalReason.NO_OWNER, "the owner sent an unexpected reply")
    return reply


async def serve_lifespan(receive: Receive, send: Send) -> None:
    """Confirm start and end of the server; the node runs beside it."""
    while True:
        event = await receive()
        if event["type"] == "lifespan.startup":
            await send({"type": "lifespan.startup.complete"})
        elif event["type"] == "lifespan.shutdown":
            await send({"type": "lifespan.shutdown.complete"})
            return
