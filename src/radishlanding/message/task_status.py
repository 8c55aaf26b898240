"""State of a task on a VM."""

import dataclasses

from radishlanding.task import TaskPhase


@dataclasses.dataclass(slots=True, kw_only=True)
class TaskStatus:
    """State of a task on a VM, in a :class:`Heartbeat`.

    :param task_id: Identity of the task.
    :param epoch: Epoch of the assignment.
    :param phase: Phase of the task on the VM.
    :param checkpoint: Newest checkpoint, empty for none.
    :param reason: Why the task ended, empty if it has not.
    """

    task_id: str
    epoch: int
    phase: TaskPhase
    checkpoint: str = ""
    reason: str = ""
