"""Executor entries as the platform's store holds them."""

import msgspec

from stand_ins.platform.executor import ExecutorModel

__all__ = ["encode_entry"]


def encode_entry(model: ExecutorModel, address: str, draining: bool = False) -> bytes:
    """Encode the entry of an executor in the platform's format."""
    entry = {
        "service": model.service,
        "address": address,
        "zone": "a",
        "state": "draining" if draining else "ready",
        "capacity": {"cpu": model.cpu_millis, "memMb": model.memory_mb},
        "labels": model.labels,
        "born": model.born_ms,
    }
    return msgspec.json.encode(entry)
