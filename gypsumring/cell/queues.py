"""The queues of jobs, also of those that the desired state does not name any more.

A queue that was dropped keeps its last form for as long as jobs of it are left: the
policy service goes on checking its steps. The form is a durable record, since a later
owner cannot read it anywhere else.
"""

from collections import Counter
from collections.abc import Callable

from gypsumring.cell.journal import Journal
from gypsumring.pipelines import DesiredState, PipelineSpec, Queue, encode

__all__ = ["QUEUE_KEY", "QueueBook"]

QUEUE_KEY = "q/"


class QueueBook:
    """Find the queue of each job, and record those that are in use."""

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
        # Names the queues of all jobs that are known.
        self.list_used_names = list_used_names
        # Jobs on their way to the store, by queue.
        self.accepting: Counter[str] = Counter()
        # The desired state that was taken over last.
        self.applied_state: DesiredState | None = None
        # The newest form of each queue by name, and the form in the store.
        self.queues: dict[str, Queue] = {}
        self.recorded: dict[str, Queue] = {}

    def restore(self, queue: Queue) -> None:
        """Take over the record of an earlier owner."""
        self.recorded[queue.name] = queue
        self.queues.setdefault(queue.name, queue)

    def refresh(self) -> None:
        """Take over a new desired state; record the changed queues that are in use."""
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
        """Return the queue of a job, as it was last if it has been dropped."""
        self.refresh()
        queue = self.queues.get(spec.queue)
        if queue is None:
            queue = Queue(
                name=spec.queue, host="", path_prefix="", service=spec.service
            )
        return queue

    def start_accepting(self, name: str) -> None:
        """Record the queue of a job that is on its way to the store."""
        self.refresh()
        self.accepting[name] += 1
        self.record(name)

    def note_accepted(self, name: str) -> None:
        """Note that a job of a queue is in the store, and known."""
        self.accepting[name] -= 1
        if not self.accepting[name]:
            del self.accepting[name]

    def record(self, name: str) -> None:
        """Record the newest form of a queue, if the store has another one."""
        queue = self.queues.get(name)
        if queue is not None and self.recorded.get(name) != queue:
            self.recorded[name] = queue
            self.journal.put(QUEUE_KEY + name, encode(queue))

    def delete_unused(self) -> None:
        """Delete the records of dropped queues of which no job is left."""
        if self.applied_state is None:
            return
        used = self.list_used_names() | self.accepting.keys()
        desired_names = {queue.name for queue in self.applied_state.queues}
        for name in self.recorded.keys() - used - desired_names:
            del self.recorded[name]
            self.queues.pop(name, None)
            self.journal.put(QUEUE_KEY + name, b"")
