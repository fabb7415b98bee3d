"""Callers of the demo: requests and jobs, sent through the healthy gateways."""

import random

import anyio
import httpx
import msgspec

from stand_ins.state.executor import KEY_HEADER, LABEL_HEADER

__all__ = [
    "Balancer",
    "BrokenConnection",
    "RequestTally",
    "send_one",
    "send_requests",
    "submit_job",
    "wait_for_jobs",
]

HEALTH_INTERVAL_S = 0.2
# A caller abandons a request after this many failed or broken connections.
MAX_CONNECTION_ATTEMPTS = 5
MS_PER_S = 1000


class Balancer:
    """Round-robin load balancer over the gateways that report healthy.

    It stands in for the balancer of the platform.
    """

    __slots__ = ("client", "gateways", "healthy", "next_index")

    def __init__(self, client: httpx.AsyncClient, gateways: list[str]):
        self.client = client
        self.gateways = gateways
        self.healthy = list(gateways)
        self.next_index = 0

    async def run(self) -> None:
        """Check the health of all gateways until cancelled."""
        while True:
            healthy = []
            for gateway in self.gateways:
                try:
                    response = await self.client.get(gateway + "/health", timeout=0.5)
                except httpx.HTTPError:
                    continue
                if response.status_code == 200:
                    healthy.append(gateway)
            self.healthy = healthy
            await anyio.sleep(HEALTH_INTERVAL_S)

    async def pick_gateway(self) -> str:
        """Return the next gateway in rotation, waiting for one if there is none."""
        while not self.healthy:
            await anyio.sleep(HEALTH_INTERVAL_S)
        self.next_index += 1
        return self.healthy[self.next_index % len(self.healthy)]


class BrokenConnection(msgspec.Struct, frozen=True):
    """An attempt that was sent without a complete answer; times are monotonic."""

    gateway: str
    sent_at: float
    ended_at: float
    error: str


class RequestTally:
    """Outcomes of the requests.

    ``refused_labels`` names the attempts that were refused, none of which may have run.
    ``answered_labels`` names answered attempts without an idempotency key, all of
    which must have run.
    """

    __slots__ = (
        "answered",
        "answered_labels",
        "broken",
        "reasons",
        "refused",
        "refused_labels",
        "sent",
        "unknown",
        "wrong",
    )

    def __init__(self):
        self.sent = 0
        self.answered = 0
        self.refused = 0
        self.unknown = 0
        self.wrong = 0
        self.reasons: dict[str, int] = {}
        self.broken: list[BrokenConnection] = []
        self.refused_labels: set[str] = set()
        self.answered_labels: set[str] = set()

    def record_reason(self, reason: str) -> None:
        """Record the reason for a refusal or an unknown outcome."""
        self.reasons[reason] = self.reasons.get(reason, 0) + 1


async def send_requests(
    balancer: Balancer,
    service: str,
    repeatable: bool,
    count: int,
    rate: float,
    tally: RequestTally,
    random_source: random.Random,
) -> None:
    """Send ``count`` requests at ``rate`` per second and wait for all answers."""
    async with anyio.create_task_group() as tasks:
        for number in range(count):
            name = f"{service}-{number}"
            tasks.start_soon(send_one, balancer, service, repeatable, name, tally)
            await anyio.sleep(random_source.expovariate(rate))


async def send_one(
    balancer: Balancer, service: str, repeatable: bool, name: str, tally: RequestTally
) -> None:
    """Send one request; retry through another gateway if the connection breaks.

    A broken connection leaves the outcome unknown. A repeatable request is safe to
    retry as it is, any other request because of its idempotency key.
    """
    tally.sent += 1
    headers = {} if repeatable else {KEY_HEADER: name}
    body = msgspec.json.encode({"request": name})
    for attempt in range(MAX_CONNECTION_ATTEMPTS):
        gateway = await balancer.pick_gateway()
        headers[LABEL_HEADER] = f"{name}#{attempt}"
        sent_at = anyio.current_time()
        try:
            response = await balancer.client.post(
                f"{gateway}/services/{service}/run",
                content=body,
                headers=headers,
                timeout=15,
            )
        except (httpx.ConnectError, httpx.ConnectTimeout):
            await anyio.sleep(HEALTH_INTERVAL_S)
            continue
        except httpx.HTTPError as error:
            tally.broken.append(
                BrokenConnection(gateway, sent_at, anyio.current_time(), repr(error))
            )
            await anyio.sleep(HEALTH_INTERVAL_S)
            continue
        record_response(response, name, tally)
        match response.headers.get("gypsumring-outcome"):
            case "refused":
                tally.refused_labels.add(headers[LABEL_HEADER])
            case "answered" if repeatable:
                tally.answered_labels.add(headers[LABEL_HEADER])
        return
    tally.unknown += 1
    tally.record_reason("connection_lost")


def record_response(response: httpx.Response, name: str, tally: RequestTally) -> None:
    """Record the outcome of one answer and check that it belongs to its request."""
    outcome = response.headers.get("gypsumring-outcome", "")
    match outcome:
        case "answered":
            tally.answered += 1
            if name.encode() not in response.content:
                tally.wrong += 1
        case "refused":
            tally.refused += 1
            tally.record_reason(response.headers.get("gypsumring-reason", "no reason"))
        case "unknown":
            tally.unknown += 1
            tally.record_reason(response.headers.get("gypsumring-reason", "no reason"))
        case _:
            tally.wrong += 1
            tally.record_reason(f"status {response.status_code} without an outcome")


async def submit_job(balancer: Balancer, team: str, job: dict) -> str | None:
    """Submit a job until it is accepted; return its id, or None after 20 attempts."""
    headers = {
        "authorization": f"Bearer example-{team}",
        "gypsumring-team": team,
    }
    for _ in range(20):
        gateway = await balancer.pick_gateway()
        try:
            response = await balancer.client.post(
                gateway + "/jobs",
                content=msgspec.json.encode(job),
                headers=headers,
                timeout=10,
            )
        except httpx.HTTPError:
            await anyio.sleep(HEALTH_INTERVAL_S)
            continue
        if response.is_success:
            return job["job_id"]
        await anyio.sleep(1)
    return None


async def wait_for_jobs(
    balancer: Balancer, accepted: list[tuple[str, str]], deadline: float
) -> dict[str, str]:
    """Poll the accepted (team, job_id) until final or ``deadline``; return states."""
    states: dict[str, str] = {job_id: "accepted" for _, job_id in accepted}
    final_states = {"succeeded", "failed", "cancelled", "impossible"}
    while anyio.current_time() < deadline:
        for team, job_id in accepted:
            if states[job_id] in final_states:
                continue
            states[job_id] = await read_job_state(balancer, team, job_id)
        if all(state in final_states for state in states.values()):
            break
        await anyio.sleep(HEALTH_INTERVAL_S)
    return states


async def read_job_state(balancer: Balancer, team: str, job_id: str) -> str:
    """Return the state of one job, or ``no answer`` if the request failed."""
    gateway = await balancer.pick_gateway()
    headers = {
        "authorization": f"Bearer example-{team}",
        "gypsumring-team": team,
    }
    try:
        response = await balancer.client.get(
            f"{gateway}/jobs/{team}/{job_id}", headers=headers, timeout=5
        )
    except httpx.HTTPError:
        return "no answer"
    if not response.is_success:
        return "no answer"
    return response.json().get("state", "no state")
