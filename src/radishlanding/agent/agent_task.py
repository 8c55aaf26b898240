"""One assignment on a VM."""

import time

from radishlanding.message import TaskStatus
from radishlanding.task import TaskPhase


class AgentTask:
    """Hold an assignment's status and what the agent does with it."""

    __slots__ = (
        "checkpoint_due_s",
        "checkpoint_every_s",
        "is_busy",
        "is_unsure",
        "needs",
        "start",
        "status",
    )

    def __init__(self, *, task_id, epoch, needs):
        """Start as running.

        :param task_id: Identity of the task.
        :param epoch: Epoch of the assignment.
        :param needs: What it may use.
        """
        self.status = TaskStatus(
            task_id=task_id, epoch=epoch, phase=TaskPhase.RUNNING
        )
        self.needs = needs
        self.start = None
        self.is_busy = False
        self.is_unsure = False
        self.checkpoint_every_s = 0.0
        self.checkpoint_due_s = 0.0

    @classmethod
    def from_start(cls, start):
        """Return the assignment that a start asks for."""
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
        """Return whether nothing of it runs any more."""
        return self.status.phase.has_ended

    def end(self, phase, *, reason=""):
        """Note how it ended."""
        self.status.phase = phase
        self.status.reason = reason
        self.is_unsure = False
