"""Key of an assignment of a task."""

import dataclasses


@dataclasses.dataclass(slots=True, kw_only=True)
class TaskKey:
    """Key of one assignment of a task.

    Between leaders and agents the epoch is the number of the attempt.

    :param task_id: Identity of the task.
    :param epoch: Epoch of the assignment.
    """

    task_id: str
    epoch: int
