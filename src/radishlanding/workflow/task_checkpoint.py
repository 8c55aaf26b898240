"""Checkpoint of a running task."""

import dataclasses


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class TaskCheckpoint:
    """Record the progress that an attempt can be resumed from.

    :param task_id: Identity of the task.
    :param attempt: Number of the running attempt.
    :param checkpoint: Progress to resume from.
    """

    task_id: str
    attempt: int
    checkpoint: str
