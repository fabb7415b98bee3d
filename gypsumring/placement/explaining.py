"""Explain the tasks and workers of a rack."""

from typing import TYPE_CHECKING

from gypsumring.messages.peer import Explanation
from gypsumring.placement.attempts import Key

if TYPE_CHECKING:
    from gypsumring.placement.rack import RackManager

__all__ = ["explain"]


def explain(manager: "RackManager", subject: str, name: str) -> Explanation:
    """Explain the tasks of a job on this rack, or the rack itmanager."""
    if subject == "job":
        lines = [
            (
                f"task {key[0]} attempt {key[1]}",
                f"{attempt.make_report().state} on {attempt.worker or 'no worker'}"
                f" {attempt.reason}".rstrip(),
            )
            for key, attempt in manager.attempts.items()
            if is_task_of(key, name)
        ]
        lines += [
            (f"task {key[0]} attempt {key[1]}", f"{report.state} {report.reason}")
            for key, (report, _) in manager.remembered.items()
            if is_task_of(key, name)
        ]
        return Explanation(tuple(lines))
    lines = [
        ("shard", f"{manager.context.shard} epoch {manager.context.epoch}"),
        ("owner", manager.context.node),
        ("state", "draining" if manager.draining else "serving"),
        ("complete in ms", str(manager.measure_incomplete_ms())),
        ("refused", ", ".join(f"{r}: {n}" for r, n in manager.reasons.most_common())),
    ]
    for link in manager.links.values():
        room = manager.engine.workers[link.name]
        state = ", ".join(sorted(room.closed)) or "open"
        if room.is_quarantined:
            state += (
                f", quarantined after {room.failures} failed starts and "
                f"{room.crashes.total()} tasks that failed soon"
            )
        lines.append((link.name, f"{state}; {len(room.tasks)} tasks; free {room.free}"))
    return Explanation(tuple(lines))


def is_task_of(key: Key, job_id: str) -> bool:
    """Tell whether a task attempt belongs to a job."""
    return key[0] == job_id or key[0].startswith(f"{job_id}/")
