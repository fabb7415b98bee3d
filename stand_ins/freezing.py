"""Freeze all tasks of a simulated process on trio's mock clock."""

import weakref
from collections.abc import Iterator
from contextlib import contextmanager

import trio
import trio._core._run as trio_run

__all__ = ["Freezer"]


class Freezer:
    """Hold back the wake-ups of tasks that descend from frozen root tasks.

    A frozen task keeps its place in whatever it waits for. What wakes it, a deadline
    included, takes effect only when its root is thawed, as for a stopped process.
    """

    __slots__ = ("held", "root_of_task", "roots")

    def __init__(self):
        self.roots: dict[trio.lowlevel.Task, bool] = {}
        self.held: list[trio.lowlevel.Task] = []
        self.root_of_task = weakref.WeakKeyDictionary()

    def add_root(self) -> trio.lowlevel.Task:
        """Make the current task the root of a process and return it."""
        task = trio.lowlevel.current_task()
        self.roots[task] = False
        # Looked up before it was a root, when it was spawned.
        self.root_of_task[task] = task
        return task

    def find_root(self, task: trio.lowlevel.Task) -> trio.lowlevel.Task | None:
        """Return the root that a task descends from."""
        if task in self.root_of_task:
            return self.root_of_task[task]
        parent = task.parent_nursery
        if task in self.roots:
            root = task
        else:
            root = None if parent is None else self.find_root(parent.parent_task)
        self.root_of_task[task] = root
        return root

    def is_frozen(self, task: trio.lowlevel.Task) -> bool:
        """Tell whether a task belongs to a frozen process."""
        root = self.find_root(task)
        return root is not None and self.roots[root]

    def freeze(self, root: trio.lowlevel.Task) -> None:
        """Stop the tasks of a root, those that are ready to run included."""
        self.roots[root] = True
        queue = trio_run.GLOBAL_RUN_CONTEXT.runner.runq
        ready = list(queue)
        queue.clear()
        for task in ready:
            (self.held if self.is_frozen(task) else queue).append(task)

    def thaw(self, root: trio.lowlevel.Task) -> None:
        """Let the tasks of a root run again."""
        self.roots[root] = False
        held, self.held = self.held, []
        queue = trio_run.GLOBAL_RUN_CONTEXT.runner.runq
        for task in held:
            (self.held if self.is_frozen(task) else queue).append(task)

    def thaw_all(self) -> None:
        """Let all tasks run again, so that they can be cancelled."""
        for root in list(self.roots):
            self.thaw(root)

    @contextmanager
    def installed(self) -> Iterator[None]:
        """Hold back wake-ups while the context is open."""
        original = trio_run.Runner.reschedule

        def reschedule(runner, task, next_send=trio_run._NO_SEND) -> None:
            original(runner, task, next_send)
            if self.is_frozen(task):
                runner.runq.remove(task)
                self.held.append(task)

        trio_run.Runner.reschedule = reschedule
        try:
            yield
        finally:
            trio_run.Runner.reschedule = original
