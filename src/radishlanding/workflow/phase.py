"""Life cycle of a workflow."""

import enum


class WorkflowPhase(enum.StrEnum):
    """Phases of a workflow as reported to its caller.

    It is queued until one of its tasks is known to have started.
    """

    QUEUED = "queued"
    RUNNING = "running"
    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"

    @property
    def has_ended(self):
        """Return whether no task of the workflow starts any more."""
        return self not in (WorkflowPhase.QUEUED, WorkflowPhase.RUNNING)
