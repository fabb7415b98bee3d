"""Measure what one more message, record, task or job costs."""

import gc
import random
import time
import tracemalloc
from collections.abc import Callable

import msgspec

from benchmarks.placement import fill_cell, make_demand
from benchmarks.transport import measure_http_call_us, measure_peer_call_us
from gypsumring.jobs.ledger import JobLedger
from gypsumring.messages.codec import (
    decode_control_batch,
    decode_envelope,
    decode_reply,
    encode,
)
from gypsumring.messages.peer import (
    Envelope,
    GrantedSlot,
    Heartbeat,
    HeartbeatReply,
    HeldSlot,
    RackSummary,
    RenewSlots,
    ReportTasks,
    SlotGrants,
    StartTasks,
    StartTasksReply,
    TaskReport,
    TaskReportState,
    TaskToStart,
    pack_summary,
)
from gypsumring.messages.records import (
    DocumentPublished,
    JobAccepted,
    KeyIntent,
    KeyOutcome,
    Record,
    RecordBatch,
    Renew,
    TaskEnded,
)
from gypsumring.messages.work import BatchWork, JobSpec, Priority, Resources
from gypsumring.metrics import Metrics
from gypsumring.ownership import ControlFold
from gypsumring.placement.exceptions import NoFit
from gypsumring.ports import Inventory, TaskRecord, TaskStart, TaskState

__all__ = ["Slopes", "measure_slopes"]

REPEATS = 2_000
US_PER_S = 1_000_000
RECORD_ID = "entry-12-0123456789abcdef01234567"
SIZE = Resources(500, 1024, 0)


class Slopes(msgspec.Struct, kw_only=True):
    """Hold measured costs: bytes of messages, microseconds and bytes of memory."""

    renewal_bytes: float
    heartbeat_base_bytes: float
    heartbeat_shard_bytes: float
    heartbeat_rack_bytes: float
    slot_renewal_base_bytes: float
    slot_renewal_executor_bytes: float
    start_bytes_per_task: float
    report_bytes_per_task: float
    worker_start_bytes_per_task: float
    inventory_bytes_per_task: float
    job_record_bytes: float
    task_end_bytes: float
    key_record_bytes: float
    document_record_bytes: float
    peer_call_us: float
    http_call_us: float
    renewal_fold_us: float
    heartbeat_us: float
    start_codec_us_per_task: float
    inventory_codec_us_per_task: float
    decision_us: float
    engine_bytes_per_task: float
    engine_bytes_per_worker: float
    job_bytes: float
    process_base_mb: float


def make_summary(number: int) -> RackSummary:
    """Return the summary of one rack."""
    size = Resources(1_280_000, 5_120_000, 80)
    return RackSummary(
        f"rack/data-centre-{number % 12}/r{number}",
        7,
        f"data-centre-{number % 12}",
        40,
        size,
        size,
        size,
        size,
        size,
        True,
    )


def make_heartbeat(shards: int, racks: int) -> Heartbeat:
    """Return a heartbeat of a node with so many shards and racks."""
    return Heartbeat(
        "entry-12",
        1_764_825_733_123,
        "10.20.30.40:7100",
        123_456_789,
        1_234_567,
        False,
        {f"ledger/region-one/{number:03d}": 7 for number in range(shards)},
        tuple(pack_summary(make_summary(number)) for number in range(racks)),
    )


def make_reply() -> HeartbeatReply:
    """Return the reply to a heartbeat."""
    return HeartbeatReply(
        "entry-13",
        1_764_825_733_123,
        123_456_789,
        1_234_567,
        (),
        2_000,
    )


def size_of_call(message: object, reply: object) -> int:
    """Return the encoded bytes of a peer message and its reply."""
    envelope = Envelope("entry-12", 1_764_825_733_123, 1_234_567, message)
    return len(encode(envelope)) + len(encode(reply))


def make_starts(count: int) -> StartTasks:
    """Return a message that starts so many tasks."""
    return StartTasks(
        "rack/data-centre-7/r17",
        "ledger/region-one/017",
        7,
        12,
        "10.20.30.40:7100",
        tuple(
            TaskToStart(
                task_id=f"export-desk:manifests-0412@9f86d081/{number}",
                attempt=1_000_001,
                team="export-desk",
                service="cold-chain-manifests",
                resources=SIZE,
                priority=Priority.BATCH,
                declared_run_ms=1_000,
            )
            for number in range(count)
        ),
        left_ms=1_000,
    )


def make_reports(count: int) -> tuple[TaskReport, ...]:
    """Return reports of so many running tasks."""
    return tuple(
        TaskReport(
            f"export-desk:manifests-0412@9f86d081/{number}",
            1_000_001,
            TaskReportState.RUNNING,
            "worker-1234",
        )
        for number in range(count)
    )


def make_inventory(count: int) -> Inventory:
    """Return an inventory of so many tasks."""
    return Inventory(
        12_345.678,
        tuple(
            TaskRecord(
                task_id=f"export-desk:manifests-0412@9f86d081/{number}",
                attempt=1_000_001,
                ledger="ledger/region-one/017",
                service="cold-chain-manifests",
                resources=SIZE,
                priority=0,
                state=TaskState.RUNNING,
                lease_left_ms=25_000,
            )
            for number in range(count)
        ),
    )


def make_worker_starts(count: int) -> list[TaskStart]:
    """Return starts as sent to a worker."""
    return [
        TaskStart(
            task_id=f"export-desk:manifests-0412@9f86d081/{number}",
            attempt=1_000_001,
            ledger="ledger/region-one/017",
            service="cold-chain-manifests",
            resources=SIZE,
            priority=0,
            start_before=12_345.678,
            lease_ms=30_000,
        )
        for number in range(count)
    ]


def make_job(number: int) -> JobAccepted:
    """Return the record of an accepted job of 100 tasks."""
    spec = JobSpec(
        job_id=f"manifests-{number}",
        team="export-desk",
        service="cold-chain-manifests",
        document_version=3,
        priority=Priority.BATCH,
        work=BatchWork(1_764_825_733.0),
        task_count=100,
        task_resources=SIZE,
        declared_run_ms=1_000,
    )
    return JobAccepted(spec, 1_764_825_733.0)


def size_of_record(*bodies: object) -> int:
    """Return the encoded bytes of one append with these records."""
    records = tuple(Record(RECORD_ID, "entry-12", 7, body) for body in bodies)
    return len(encode(RecordBatch(records)))


def slope_per_item(size_of: Callable[[int], int], few: int = 1, many: int = 101):
    """Return how many bytes one more item adds."""
    return (size_of(many) - size_of(few)) / (many - few)


def time_us(function: Callable[[], object], repeats: int = REPEATS) -> float:
    """Return the processor time of one call in microseconds."""
    began = time.process_time()
    for _ in range(repeats):
        function()
    return (time.process_time() - began) / repeats * US_PER_S


def measure_memory(build: Callable[[], object]) -> tuple[object, int]:
    """Return what ``build`` returns and the bytes that it allocated."""
    gc.collect()
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    built = build()
    gc.collect()
    used = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    return built, used


def measure_renewal_fold() -> float:
    """Return the microseconds to decode and fold one renewal among 60 members."""
    fold = ControlFold()
    payload = encode(
        RecordBatch((Record(RECORD_ID, "entry-12", 0, Renew("entry-12", 1, 12345)),))
    )

    def fold_one() -> None:
        for record in decode_control_batch(payload).records:
            fold.apply(1, record)

    return time_us(fold_one)


def measure_engine(seed: int) -> tuple[float, float, float]:
    """Return microseconds a decision, bytes a task and bytes a worker."""
    source = random.Random(seed)
    _, empty = measure_memory(lambda: fill_cell_without_tasks(500))
    engine, full = measure_memory(lambda: fill_cell(500, source))
    tasks = len(engine.tasks)
    keys = list(engine.tasks)

    def replace_one() -> None:
        key = keys.pop(source.randrange(len(keys)))
        engine.release(key)
        demand = make_demand(source.getrandbits(60), source)
        try:
            engine.place(demand, 0.0)
            keys.append(demand.key)
        except NoFit:
            pass

    decision_us = time_us(replace_one, min(REPEATS, tasks // 2))
    return decision_us, (full - empty) / tasks, empty / 500


def fill_cell_without_tasks(workers: int):
    """Return an engine with so many idle workers."""
    from gypsumring.placement import PlacementEngine

    engine = PlacementEngine(0.5, random.Random(1))
    for number in range(workers):
        engine.add_worker(
            f"vm-{number}", Resources(32_000, 131_072, 2), f"dc-{number % 12}", "r1"
        )
    return engine


def measure_job_memory() -> float:
    """Return the bytes that one job of 100 tasks takes in a ledger owner."""

    def build() -> JobLedger:
        ledger = JobLedger(Metrics(), lambda job, body: None)
        for number in range(500):
            record = Record(f"{RECORD_ID}{number}", "entry-12", 1, make_job(number))
            ledger.apply(number, record)
        return ledger

    _, used = measure_memory(build)
    return used / 500


def measure_process_base_mb() -> float:
    """Return the resident memory of a process that imported a scheduler, in MiB."""
    import psutil

    import gypsumring.scheduler  # noqa: F401

    return psutil.Process().memory_info().rss / 2**20


def measure_slopes(seed: int) -> Slopes:
    """Measure all slopes in this process."""
    process_base_mb = measure_process_base_mb()
    heartbeat = encode(Envelope("entry-12", 1, 1, make_heartbeat(4, 2)))
    reply = encode(make_reply())
    starts = encode(Envelope("entry-12", 1, 1, make_starts(100)))
    inventory = msgspec.msgpack.encode(make_inventory(100))
    inventory_decoder = msgspec.msgpack.Decoder(Inventory)
    decision_us, task_bytes, worker_bytes = measure_engine(seed)
    held = HeldSlot("executor-123", 3, 2, 9_000)
    granted = GrantedSlot("executor-123", "10.20.30.40:9000", 3, 10_000)

    def slot_bytes(count: int) -> int:
        message = RenewSlots(
            "gateway-12", 1, "rack/dc-7/r1", "live", 9, (held,) * count
        )
        return size_of_call(
            message, SlotGrants("rack/dc-7/r1", 7, "live", (granted,) * count, 7)
        )

    empty_summary = make_summary(1)
    return Slopes(
        renewal_bytes=size_of_record(Renew("entry-12", 1_764_825_733_123, 123_456)),
        heartbeat_base_bytes=size_of_call(make_heartbeat(0, 0), make_reply()),
        heartbeat_shard_bytes=slope_per_item(
            lambda n: size_of_call(make_heartbeat(n, 0), make_reply())
        ),
        heartbeat_rack_bytes=slope_per_item(
            lambda n: size_of_call(make_heartbeat(0, n), make_reply())
        ),
        slot_renewal_base_bytes=slot_bytes(0),
        slot_renewal_executor_bytes=slope_per_item(slot_bytes),
        start_bytes_per_task=slope_per_item(
            lambda n: size_of_call(
                make_starts(n), StartTasksReply(make_reports(n), empty_summary)
            )
        ),
        report_bytes_per_task=slope_per_item(
            lambda n: size_of_call(
                ReportTasks("ledger/r/01", "rack/d/r", 7, make_reports(n)),
                make_reply(),
            )
        ),
        worker_start_bytes_per_task=slope_per_item(
            lambda n: len(msgspec.msgpack.encode(make_worker_starts(n)))
        ),
        inventory_bytes_per_task=slope_per_item(
            lambda n: len(msgspec.msgpack.encode(make_inventory(n)))
        ),
        job_record_bytes=size_of_record(make_job(1)),
        task_end_bytes=slope_per_item(
            lambda n: size_of_record(TaskEnded("manifests", tuple(range(n)), ()))
        ),
        key_record_bytes=size_of_record(
            KeyIntent("declarations", "d-1", "0" * 64, "gateway-1", "1" * 24, 1.7e9)
        )
        + size_of_record(
            KeyOutcome("declarations", "d-1", "1" * 24, 200, (), b"x" * 200)
        ),
        document_record_bytes=size_of_record(
            DocumentPublished("export-desk", "manifests", 3, b"x" * 400, "operator")
        ),
        peer_call_us=measure_peer_call_us(),
        http_call_us=measure_http_call_us(),
        renewal_fold_us=measure_renewal_fold(),
        heartbeat_us=time_us(lambda: (decode_envelope(heartbeat), decode_reply(reply)))
        + time_us(lambda: (encode(make_heartbeat(4, 2)), encode(make_reply()))),
        start_codec_us_per_task=time_us(lambda: decode_envelope(starts), 200) / 100,
        inventory_codec_us_per_task=time_us(
            lambda: inventory_decoder.decode(inventory), 200
        )
        / 100,
        decision_us=decision_us,
        engine_bytes_per_task=task_bytes,
        engine_bytes_per_worker=worker_bytes,
        job_bytes=measure_job_memory(),
        process_base_mb=process_base_mb,
    )
