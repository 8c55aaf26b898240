"""One assignment of a task."""

import dataclasses


@dataclasses.dataclass(slots=True, kw_only=True)
class TaskKey:
    """One assignment of a task.

    :param task_id: Identity of the task.
    :param epoch: Epoch of the assignment.
    """

    task_id: str
    epoch: int
