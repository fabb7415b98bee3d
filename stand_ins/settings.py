"""Settings of the stand-in programs."""

import msgspec

from gypsumring.messages.work import Resources
from gypsumring.ports import VmEntry

__all__ = [
    "ExecutorsStandInSettings",
    "LogStandInSettings",
    "VmListStandInSettings",
    "WorkersStandInSettings",
]


class LogStandInSettings(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """Settings of the log; ``address`` is IP:port, and port 0 selects a free port."""

    address: str = "127.0.0.1:0"
    max_records: int = 100_000
    max_age_ms: int = 86_400_000
    appends_per_s: int = 400
    seed: int = 0


class VmListStandInSettings(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """Settings of the VM list."""

    address: str = "127.0.0.1:0"
    lag_ms: int = 2_000
    vms: tuple[VmEntry, ...] = ()
    seed: int = 0


class WorkerStandIn(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """Settings of one worker."""

    name: str
    capacity: Resources
    address: str = "127.0.0.1:0"
    data_centre: str = ""
    rack: str = ""
    clock_offset_ms: int = 0
    usage_lag_ms: int = 5_000


class WorkersStandInSettings(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """Settings of the workers of one process."""

    workers: tuple[WorkerStandIn, ...]
    seed: int = 0


class ExecutorStandIn(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """Settings of one executor."""

    name: str
    address: str = "127.0.0.1:0"
    pool: str = ""
    slots: int = 8
    connections: int = 64
    run_ms: float = 10.0


class ExecutorsStandInSettings(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """Settings of the executors of one process."""

    executors: tuple[ExecutorStandIn, ...]
    seed: int = 0
