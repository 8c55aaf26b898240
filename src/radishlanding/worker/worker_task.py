"""A task in a worker's list."""

import dataclasses

from radishlanding.vm import Capacity


@dataclasses.dataclass(slots=True, kw_only=True)
class WorkerTask:
    """A running or ended task on a worker.

    :param task_id: Identity of the task.
    :param epoch: Epoch of the assignment.
    :param state: ``running``, ``done``, ``failed`` or ``stopped``.
    :param needs: Resources that it may use.
    :param checkpoint: Newest checkpoint, or an empty string.
    :param reason: Why it ended, or an empty string.
    """

    task_id: str
    epoch: int
    state: str
    needs: Capacity
    checkpoint: str = ""
    reason: str = ""
