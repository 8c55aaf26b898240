"""An assignment of a task to a VM."""

import time

from radishlanding.message import TaskStatus
from radishlanding.task import TaskPhase


class AgentTask:
    """State of an assignment on its VM.

    ``start`` is the message that started it, None if it was adopted.
    ``is_busy`` is set while it is being started, evicted or stopped, and
    ``is_start_uncertain`` until the worker confirms its start.
    """

    __slots__ = (
        "checkpoint_due_s",
        "checkpoint_every_s",
        "is_busy",
        "is_start_uncertain",
        "needs",
        "start",
        "status",
    )

    def __init__(self, *, task_id, epoch, needs):
        """Create a running assignment.

        :param task_id: Identity of the task.
        :param epoch: Epoch of the assignment.
        :param needs: The :class:`radishlanding.vm.Capacity` that it may use.
        """
        self.status = TaskStatus(
            task_id=task_id, epoch=epoch, phase=TaskPhase.RUNNING
        )
        self.needs = needs
        self.start = None
        self.is_busy = False
        self.is_start_uncertain = False
        self.checkpoint_every_s = 0.0
        self.checkpoint_due_s = 0.0

    @classmethod
    def from_start(cls, start):
        """Return the assignment that a start message requests.

        :param start: A :class:`radishlanding.message.StartTask`.
        """
        task = cls(task_id=start.task_id, epoch=start.epoch, needs=start.needs)
        task.start = start
        task.status.checkpoint = start.checkpoint
        task.checkpoint_every_s = start.checkpoint_every_s
        task.checkpoint_due_s = time.monotonic() + start.checkpoint_every_s
        return task

    @property
    def key(self):
        """Return task and epoch."""
        return self.status.task_id, self.status.epoch

    @property
    def has_ended(self):
        """Return whether it no longer runs."""
        return self.status.phase.has_ended

    def end(self, phase, *, reason=""):
        """Record how it ended.

        :param phase: A :class:`radishlanding.task.TaskPhase`.
        :param reason: Why, for the report.
        """
        self.status.phase = phase
        self.status.reason = reason
        self.is_start_uncertain = False
