"""Summary of a task."""

import dataclasses


@dataclasses.dataclass(slots=True, kw_only=True)
class TaskSummary:
    """Summary of a task for operators, in a :class:`JobSummary`.

    :param task_id: Identity of the task.
    :param state: Name of the task's state.
    :param epoch: Epoch of the newest assignment.
    :param vm: VM of the newest assignment.
    :param checkpoint: Newest checkpoint, empty for none.
    :param reason: Why the task is in this state; may be empty.
    """

    task_id: str
    state: str
    epoch: int
    vm: str
    checkpoint: str
    reason: str
