"""Queues of jobs, including queues that were removed from the desired state.

The last version of a removed queue is kept until no job of the queue is left, because
the policy service continues to check the steps of these jobs. The version is stored as
a durable record, since a later owner cannot read it anywhere else.
"""

from collections import Counter
from collections.abc import Callable

from gypsumring.cell.journal import Journal
from gypsumring.pipelines import DesiredState, PipelineSpec, Queue, encode

__all__ = ["QUEUE_KEY", "QueueRegistry"]

QUEUE_KEY = "q/"


class QueueRegistry:
    """Registry of the queues by name, which stores the queues in use."""

    __slots__ = (
        "accepting",
        "desired_state",
        "journal",
        "applied_state",
        "list_used_names",
        "queues",
        "recorded",
    )

    def __init__(
        self,
        journal: Journal,
        desired_state: Callable[[], DesiredState | None],
        list_used_names: Callable[[], set[str]],
    ):
        self.journal = journal
        self.desired_state = desired_state
        # Returns the names of the queues of all recorded jobs.
        self.list_used_names = list_used_names
        # Number of jobs whose records are being stored, by queue.
        self.accepting: Counter[str] = Counter()
        # The desired state that was applied last.
        self.applied_state: DesiredState | None = None
        # The newest version of each queue by name, and the version in the store.
        self.queues: dict[str, Queue] = {}
        self.recorded: dict[str, Queue] = {}

    def restore(self, queue: Queue) -> None:
        """Restore the record of an earlier owner."""
        self.recorded[queue.name] = queue
        self.queues.setdefault(queue.name, queue)

    def refresh(self) -> None:
        """Apply a new desired state and store the changed queues that are in use."""
        desired = self.desired_state()
        if desired is None or desired is self.applied_state:
            return
        self.applied_state = desired
        used = self.list_used_names() | self.accepting.keys() | self.recorded.keys()
        used_queues = {
            name: queue for name, queue in self.queues.items() if name in used
        }
        self.queues = used_queues | {queue.name: queue for queue in desired.queues}
        for name in used:
            self.record(name)

    def find(self, spec: PipelineSpec) -> Queue:
        """Return the queue of a job, or its last version if it has been removed."""
        self.refresh()
        queue = self.queues.get(spec.queue)
        if queue is None:
            queue = Queue(
                name=spec.queue, host="", path_prefix="", service=spec.service
            )
        return queue

    def start_accepting(self, name: str, received: Queue | None = None) -> None:
        """Store the queue of a job whose record is being stored.

        ``received`` is used if this owner does not know the queue: the operator may
        have removed it since the job was submitted.
        """
        self.refresh()
        if received is not None and received.name == name:
            self.queues.setdefault(name, received)
        self.accepting[name] += 1
        self.record(name)

    def finish_accepting(self, name: str) -> None:
        """Record that a job of a queue is in the job table or has been withdrawn."""
        self.accepting[name] -= 1
        if not self.accepting[name]:
            del self.accepting[name]

    def record(self, name: str) -> None:
        """Store the newest version of a queue if the stored version differs."""
        queue = self.queues.get(name)
        if queue is not None and self.recorded.get(name) != queue:
            self.recorded[name] = queue
            self.journal.put(QUEUE_KEY + name, encode(queue))

    def delete_unused(self) -> None:
        """Delete the records of removed queues that have no jobs left."""
        if self.applied_state is None:
            return
        used = self.list_used_names() | self.accepting.keys()
        desired_names = {queue.name for queue in self.applied_state.queues}
        for name in self.recorded.keys() - used - desired_names:
            del self.recorded[name]
            self.queues.pop(name, None)
            self.journal.put(QUEUE_KEY + name, b"")
