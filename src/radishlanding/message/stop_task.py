"""Stop a task without a checkpoint."""

import dataclasses


@dataclasses.dataclass(slots=True, kw_only=True)
class StopTask:
    """Stop a task without a checkpoint.

    :param task_id: Identity of the task.
    :param epoch: Epoch of the assignment.
    :param owner_epoch: Epoch of the sender's ownership.
    """

    task_id: str
    epoch: int
    owner_epoch: int
