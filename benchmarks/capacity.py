"""Work out the control cost of each role at the planned size from measured slopes.

``python -m benchmarks.capacity`` prints the table of ``docs/CAPACITY.md``.
"""

import msgspec

from benchmarks.figures import Figure
from benchmarks.slopes import Slopes, measure_slopes

__all__ = ["PLANNED", "CellSize", "Cost", "list_costs", "main", "run"]

BYTES_PER_KB = 1_000
MB = 2**20
SECONDS_PER_DAY = 86_400
US_PER_S = 1_000_000

# HTTP heads of a call and its answer, beside the body.
HTTP_HEAD_BYTES = 400
# A read of the control stream waits this long for others' records to gather.
CONTROL_READS_PER_S = 10.0
IDLE_LEDGER_POLL_S = 1.33
LOOK_S = 2.0
USAGE_S = 4.0
VM_LIST_POLLS_PER_S = 2.0
# Starts that one call to a worker carries at the peak.
STARTS_PER_CALL = 4

# What a node may spend on control.
CORE_BOUND_PERCENT = 4.6
MEMORY_BOUND_MB = 256
TRAFFIC_BOUND_KB_S = 14


class CellSize(msgspec.Struct, frozen=True, kw_only=True):
    """Describe a cell; times are in seconds."""

    workers: int
    racks: int
    regions: int
    entry_vms: int
    gateways: int
    running_tasks: int
    starts_per_s: float
    jobs_per_day: float
    live_jobs: int
    changes_per_day: float
    documents: int
    keys_per_s: float
    executors_per_rack: int
    ledgers: int
    renew_s: float
    heartbeat_s: float
    task_renew_s: float
    slot_renew_s: float


PLANNED = CellSize(
    workers=5_300,
    racks=132,
    regions=3,
    entry_vms=150,
    gateways=300,
    running_tasks=100_000,
    starts_per_s=4_500,
    jobs_per_day=89_000,
    live_jobs=4_000,
    changes_per_day=6_600,
    documents=8_000,
    keys_per_s=100,
    executors_per_rack=8,
    ledgers=192,
    renew_s=2.0,
    heartbeat_s=2.0,
    task_renew_s=8.0,
    slot_renew_s=2.0,
)

TODAY = CellSize(
    workers=24,
    racks=4,
    regions=1,
    entry_vms=9,
    gateways=9,
    running_tasks=450,
    starts_per_s=50,
    jobs_per_day=2_000,
    live_jobs=100,
    changes_per_day=50,
    documents=20,
    keys_per_s=20,
    executors_per_rack=6,
    ledgers=16,
    renew_s=1.0,
    heartbeat_s=0.5,
    task_renew_s=8.0,
    slot_renew_s=2.0,
)


class Cost(msgspec.Struct, frozen=True):
    """Hold what one part of one role spends on one node."""

    role: str
    part: str
    bytes_per_s: float
    core_us_per_s: float
    memory_bytes: float


def list_costs(size: CellSize, slopes: Slopes) -> list[Cost]:
    """Return the costs of all parts on one entry VM, in traffic both ways."""
    return [
        *list_ownership_costs(size, slopes),
        *list_rack_costs(size, slopes),
        *list_ledger_costs(size, slopes),
        *list_config_costs(size, slopes),
        *list_gateway_costs(size, slopes),
    ]


def list_ownership_costs(size: CellSize, slopes: Slopes) -> list[Cost]:
    """Return the costs of membership and shard ownership."""
    peers = size.entry_vms / size.regions - 1
    shards = (size.racks + size.ledgers) / size.entry_vms
    racks = size.racks / size.entry_vms
    renewals_per_s = size.entry_vms / size.renew_s
    beats_per_s = 2 * peers / size.heartbeat_s
    control_calls = min(CONTROL_READS_PER_S, renewals_per_s) + 1 / size.renew_s
    liveness = slopes.heartbeat_base_bytes + shards * slopes.heartbeat_shard_bytes
    return [
        Cost(
            "scheduler",
            "control stream (one renewal a node, read by all)",
            renewals_per_s * slopes.renewal_bytes + control_calls * HTTP_HEAD_BYTES,
            renewals_per_s * slopes.renewal_fold_us
            + control_calls * slopes.http_call_us,
            size.entry_vms * 500,
        ),
        Cost(
            "scheduler",
            "heartbeats to all members of the region",
            beats_per_s * liveness,
            beats_per_s * (slopes.heartbeat_us + slopes.peer_call_us),
            peers * 1_000,
        ),
        Cost(
            "scheduler",
            "rack summaries in heartbeats",
            beats_per_s * racks * slopes.heartbeat_rack_bytes,
            0,
            size.racks * 1_000,
        ),
        Cost(
            "scheduler",
            "VM list, asked for changes",
            VM_LIST_POLLS_PER_S * HTTP_HEAD_BYTES,
            VM_LIST_POLLS_PER_S * slopes.http_call_us,
            (size.workers + size.racks * size.executors_per_rack) * 1_000,
        ),
    ]


def list_rack_costs(size: CellSize, slopes: Slopes) -> list[Cost]:
    """Return the costs of the rack shards of one node."""
    tasks = size.running_tasks / size.entry_vms
    workers = size.workers / size.entry_vms
    starts_per_s = size.starts_per_s / size.entry_vms
    calls_per_worker = 1 / size.task_renew_s + 1 / LOOK_S + 1 / USAGE_S
    calls_per_s = workers * calls_per_worker
    inventory_per_s = tasks * (1 / size.task_renew_s + 1 / LOOK_S)
    gateways = size.gateways / size.regions
    slot_calls_per_s = gateways * size.racks / size.entry_vms / size.slot_renew_s
    return [
        Cost(
            "scheduler",
            "workers: lease renewals, whole inventories, usage",
            inventory_per_s * slopes.inventory_bytes_per_task
            + calls_per_s * HTTP_HEAD_BYTES,
            inventory_per_s * slopes.inventory_codec_us_per_task
            + calls_per_s * slopes.http_call_us,
            tasks * slopes.engine_bytes_per_task
            + workers * slopes.engine_bytes_per_worker,
        ),
        Cost(
            "scheduler",
            "task starts at the peak: decision, start, reports",
            starts_per_s
            * (
                slopes.start_bytes_per_task
                + 2 * slopes.report_bytes_per_task
                + 2 * slopes.worker_start_bytes_per_task
            ),
            starts_per_s
            * (
                slopes.decision_us
                + 4 * slopes.start_codec_us_per_task
                + 2 * (slopes.http_call_us + slopes.peer_call_us) / STARTS_PER_CALL
            ),
            0,
        ),
        Cost(
            "scheduler",
            "slot permits renewed by the gateways of the region",
            slot_calls_per_s
            * (
                slopes.slot_renewal_base_bytes
                + size.executors_per_rack * slopes.slot_renewal_executor_bytes
            ),
            slot_calls_per_s * slopes.peer_call_us,
            gateways * size.executors_per_rack * 300,
        ),
    ]


def list_ledger_costs(size: CellSize, slopes: Slopes) -> list[Cost]:
    """Return the costs of the ledger shards of one node."""
    jobs_per_s = size.jobs_per_day / SECONDS_PER_DAY / size.entry_vms
    starts_per_s = size.starts_per_s / size.entry_vms
    keys_per_s = size.keys_per_s / size.entry_vms
    polls_per_s = size.ledgers / size.entry_vms / IDLE_LEDGER_POLL_S
    # A record is appended once and read back once.
    record_bytes_per_s = 2 * (
        jobs_per_s * slopes.job_record_bytes
        + starts_per_s * slopes.task_end_bytes
        + keys_per_s * slopes.key_record_bytes
    )
    return [
        Cost(
            "scheduler",
            "ledger records of jobs, results and keys",
            record_bytes_per_s + polls_per_s * HTTP_HEAD_BYTES,
            polls_per_s * slopes.http_call_us,
            size.live_jobs / size.entry_vms * slopes.job_bytes,
        )
    ]


def list_config_costs(size: CellSize, slopes: Slopes) -> list[Cost]:
    """Return the costs of the documents on each process."""
    changes_per_s = size.changes_per_day / SECONDS_PER_DAY
    return [
        Cost(
            "each process",
            "config stream, read by all",
            changes_per_s * slopes.document_record_bytes,
            0,
            size.documents * 4 * slopes.document_record_bytes,
        )
    ]


def list_gateway_costs(size: CellSize, slopes: Slopes) -> list[Cost]:
    """Return the costs of one gateway process beside its requests."""
    renewals_per_s = size.racks / size.regions / size.slot_renew_s
    control_per_s = size.entry_vms / size.renew_s
    control_calls = min(CONTROL_READS_PER_S, control_per_s)
    return [
        Cost(
            "gateway",
            "slot permits of all racks of the region",
            renewals_per_s
            * (
                slopes.slot_renewal_base_bytes
                + size.executors_per_rack * slopes.slot_renewal_executor_bytes
            ),
            renewals_per_s * slopes.peer_call_us,
            size.racks * size.executors_per_rack * 500,
        ),
        Cost(
            "gateway",
            "control stream, to find owners",
            control_per_s * slopes.renewal_bytes + control_calls * HTTP_HEAD_BYTES,
            control_per_s * slopes.renewal_fold_us
            + control_calls * slopes.http_call_us,
            size.entry_vms * 500,
        ),
    ]


def log_appends_per_s(size: CellSize) -> float:
    """Return the appends a second of the whole cell, with group commit.

    Each ledger appends at most one batch at a time; a batch gathers what arrives
    during the append before it, so a ledger with work appends about 10 times a second.
    """
    renewals = size.entry_vms / size.renew_s
    busy_ledgers = min(size.ledgers, size.keys_per_s + size.starts_per_s)
    return renewals + busy_ledgers * 10 + size.changes_per_day / SECONDS_PER_DAY


def render_table(size: CellSize, slopes: Slopes) -> str:
    """Return the costs as a Markdown table."""
    lines = [
        "| role | part | KB/s | core % | memory MiB |",
        "| --- | --- | ---: | ---: | ---: |",
    ]
    for cost in list_costs(size, slopes):
        lines.append(
            f"| {cost.role} | {cost.part} | {cost.bytes_per_s / BYTES_PER_KB:.2f} | "
            f"{100 * cost.core_us_per_s / US_PER_S:.3f} | "
            f"{cost.memory_bytes / MB:.2f} |"
        )
    return "\n".join(lines)


def main() -> None:
    """Print the slopes and the tables of both sizes."""
    slopes = measure_slopes(7)
    print("| slope | value |\n| --- | ---: |")
    for name, value in msgspec.to_builtins(slopes).items():
        print(f"| `{name}` | {value:.4g} |")
    for title, size in (("today", TODAY), ("planned size", PLANNED)):
        print(f"\nOne entry VM, {title}:\n")
        print(render_table(size, slopes))
        print(f"\nlog appends: {log_appends_per_s(size):.0f} a second")


def run(seed: int) -> list[Figure]:
    """Return the slopes, and today's control traffic of a scheduler with its bound."""
    slopes = measure_slopes(seed)
    figures = [
        Figure(f"slope.{name}", value, "")
        for name, value in msgspec.to_builtins(slopes).items()
    ]
    idle = sum(
        cost.bytes_per_s
        for cost in list_costs(TODAY, slopes)
        if cost.role == "scheduler" and "peak" not in cost.part
    )
    bound = TRAFFIC_BOUND_KB_S * BYTES_PER_KB
    figures.append(
        Figure("scheduler control traffic today", idle, "B/s", bound, idle <= bound)
    )
    return figures


if __name__ == "__main__":
    main()
