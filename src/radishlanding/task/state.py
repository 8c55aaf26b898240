"""Where a task stands in its life."""

import enum


class TaskState(enum.StrEnum):
    """States of a task, as the journal records them."""

    QUEUED = "queued"
    ASSIGNED = "assigned"
    CANCELLING = "cancelling"
    DONE = "done"
    FAILED = "failed"
    CANCELLED = "cancelled"
    LOST = "lost"

    @property
    def is_on_vm(self):
        """Return whether an assignment may be running."""
        return self in (TaskState.ASSIGNED, TaskState.CANCELLING)

    @property
    def is_final(self):
        """Return whether nothing, not even an operator, changes it."""
        return self.has_ended and self != TaskState.LOST

    @property
    def has_ended(self):
        """Return whether the task never runs again by itself."""
        return self in (
            TaskState.DONE,
            TaskState.FAILED,
            TaskState.CANCELLED,
            TaskState.LOST,
        )
