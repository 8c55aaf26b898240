"""Lifecycle state of a task."""

import enum


class TaskState(enum.StrEnum):
    """State of a task, as recorded in the journal.

    A LOST task is not idempotent and may have run in part, so that an
    operator decides whether it runs again.
    """

    QUEUED = "queued"
    ASSIGNED = "assigned"
    CANCELLING = "cancelling"
    DONE = "done"
    FAILED = "failed"
    CANCELLED = "cancelled"
    LOST = "lost"

    @property
    def is_on_vm(self):
        """Return whether the task may be running on its VM."""
        return self in (TaskState.ASSIGNED, TaskState.CANCELLING)

    @property
    def is_final(self):
        """Return whether no further transition is possible.

        A lost task is not final: an operator may requeue or cancel it.
        """
        return self.has_ended and self != TaskState.LOST

    @property
    def has_ended(self):
        """Return whether the task never runs again on its own."""
        return self in (
            TaskState.DONE,
            TaskState.FAILED,
            TaskState.CANCELLED,
            TaskState.LOST,
        )
