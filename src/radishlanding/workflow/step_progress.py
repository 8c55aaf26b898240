"""What is left to place of one step."""

import heapq

from radishlanding.workflow.index_ranges import IndexRanges
from radishlanding.workflow.task_id import task_id


class StepProgress:
    """Hold which tasks of a step wait, by their index in the step.

    Tasks that were never assigned have no record and are not listed: they
    are those from ``_first_unused`` on that have none and are not dropped.
    What it holds grows with the tasks that run, not with the step's size.

    ``assigned`` and ``returned`` are the indexes of the tasks that are
    assigned, and of those that were and have to be assigned again.
    ``dropped`` are those that are done and have no record any more.
    """

    __slots__ = (
        "_first_unused",
        "_prefix",
        "_tasks",
        "assigned",
        "dropped",
        "returned",
    )

    def __init__(self, *, prefix, tasks, dropped=()):
        """Start with no task assigned.

        :param prefix: Identities of the workflow, the occurrence and the
            step.
        :param tasks: Records of the workflow's tasks by task id.
        :param dropped: Bounds of the :class:`IndexRanges` of tasks that are
            done and have no record any more.
        """
        self._first_unused = 0
        self._prefix = prefix
        self._tasks = tasks
        self.assigned = set()
        self.dropped = IndexRanges(dropped)
        self.returned = set()

    def _is_used(self, index):
        return (
            index in self.dropped
            or task_id(*self._prefix, index) in self._tasks
        )

    def assign(self, index):
        """Record that a task, which has a record, is assigned."""
        self.returned.discard(index)
        self.assigned.add(index)

    def release(self, index, *, is_done):
        """Record that an attempt of a task has ended."""
        self.assigned.discard(index)
        if not is_done:
            self.returned.add(index)

    def pending(self, count):
        """Yield the indexes of the waiting tasks, in order.

        :param count: Number of tasks of the step.
        """
        while self._is_used(self._first_unused):
            self._first_unused += 1
        unused = (
            index
            for index in range(self._first_unused, count)
            if not self._is_used(index)
        )
        yield from heapq.merge(sorted(self.returned), unused)
