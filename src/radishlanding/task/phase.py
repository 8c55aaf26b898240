"""Phase of a task on its VM."""

import enum


class TaskPhase(enum.StrEnum):
    """Phase of an assignment, as its agent reports it.

    A task that is CHECKPOINTED was stopped right after a checkpoint; one
    that is STOPPED may have worked after its newest checkpoint.
    """

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
