"""State of one task on a VM, as its agent knows it."""

import dataclasses

from radishlanding.task import TaskPhase


@dataclasses.dataclass(slots=True, kw_only=True)
class TaskStatus:
    """State of one task on a VM, as its agent knows it.

    :param task_id: Identity of the task.
    :param epoch: Epoch of the assignment.
    :param phase: What the task is doing.
    :param checkpoint: Newest checkpoint, or an empty string.
    :param reason: Why the task ended, or an empty string.
    """

    task_id: str
    epoch: int
    phase: TaskPhase
    checkpoint: str = ""
    reason: str = ""
