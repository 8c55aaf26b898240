"""Start a task whose assignment is on record."""

import dataclasses

from radishlanding.vm import Capacity


@dataclasses.dataclass(slots=True, kw_only=True)
class StartTask:
    """Start a task whose assignment is on record.

    :param task_id: Identity of the task.
    :param epoch: Epoch of the assignment.
    :param owner_epoch: Epoch of the sender's ownership.
    :param incarnation: Agent incarnation that is meant.
    :param clock_echo_ms: Newest agent clock that the sender had seen.
    :param revision: Configuration revision that the sender confirmed.
    :param needs: What the task may use.
    :param checkpoint: Checkpoint to resume from, or an empty string.
    :param organisation: Organisation of the job.
    :param template: Template of the job.
    :param parameters: Parameters of the job as a JSON text.
    :param checkpoint_every_s: Pause between checkpoints, 0 for none.
    """

    task_id: str
    epoch: int
    owner_epoch: int
    incarnation: str
    clock_echo_ms: int
    revision: int
    needs: Capacity
    checkpoint: str
    organisation: str
    template: str
    parameters: str
    checkpoint_every_s: float
