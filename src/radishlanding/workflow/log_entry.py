"""Changes that are committed in one write."""

import dataclasses

from radishlanding.workflow.assignment import Assignment
from radishlanding.workflow.task_checkpoint import TaskCheckpoint
from radishlanding.workflow.task_end import TaskEnd
from radishlanding.workflow.tombstone import Tombstone
from radishlanding.workflow.workflow import Workflow


@dataclasses.dataclass(slots=True, kw_only=True)
class LogEntry:
    """Changes of workflows in one entry of the log.

    :param commit_id: Unique identity of the write.
    :param made_ms: Unix time of the write, in milliseconds.
    :param accepted: New workflows.
    :param cancelled: Ids of workflows that were cancelled.
    :param ends: Ends of attempts.
    :param assignments: Attempts that may start from now on.
    :param checkpoints: Progress of running attempts.
    :param started: Ids of workflows whose first task is known to have
        started; earlier builds write none.
    :param tombstones: Cancellations of workflows that are not known.
    """

    commit_id: str
    made_ms: int
    accepted: list[Workflow] = dataclasses.field(default_factory=list)
    cancelled: list[str] = dataclasses.field(default_factory=list)
    ends: list[TaskEnd] = dataclasses.field(default_factory=list)
    assignments: list[Assignment] = dataclasses.field(default_factory=list)
    checkpoints: list[TaskCheckpoint] = dataclasses.field(default_factory=list)
    started: list[str] = dataclasses.field(default_factory=list)
    tombstones: list[Tombstone] = dataclasses.field(default_factory=list)

    def size(self):
        """Return the number of changes."""
        return (
            len(self.accepted)
            + len(self.cancelled)
            + len(self.ends)
            + len(self.assignments)
            + len(self.checkpoints)
            + len(self.started)
            + len(self.tombstones)
        )
