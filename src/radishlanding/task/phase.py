"""Phase of a task on its VM."""

import enum


class TaskPhase(enum.StrEnum):
    """Phase of an assignment, as its agent reports it."""

    RUNNING = "running"
    STOPPING = "stopping"
    CHECKPOINTED = "checkpointed"
    STOPPED = "stopped"
    DONE = "done"
    FAILED = "failed"

    @property
    def has_ended(self):
        """Return whether the assignment has stopped running."""
        return self not in (TaskPhase.RUNNING, TaskPhase.STOPPING)
