"""What a task is doing on its VM."""

import enum


class TaskPhase(enum.StrEnum):
    """Phases of an assignment, as the agent reports them."""

    RUNNING = "running"
    STOPPING = "stopping"
    CHECKPOINTED = "checkpointed"
    STOPPED = "stopped"
    DONE = "done"
    FAILED = "failed"

    @property
    def has_ended(self):
        """Return whether nothing of the assignment runs any more."""
        return self not in (TaskPhase.RUNNING, TaskPhase.STOPPING)
