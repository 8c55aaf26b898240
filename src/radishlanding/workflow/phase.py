"""Where a workflow stands."""

import enum


class WorkflowPhase(enum.StrEnum):
    """Phases of a workflow, as its caller sees them."""

    QUEUED = "queued"
    RUNNING = "running"
    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"

    @property
    def has_ended(self):
        """Return whether nothing of it starts any more."""
        return self not in (WorkflowPhase.QUEUED, WorkflowPhase.RUNNING)
