"""Order to start a task."""

import dataclasses

from radishlanding.vm import Capacity


@dataclasses.dataclass(slots=True, kw_only=True)
class StartTask:
    """Order an agent to start a task.

    The owner of the VM's shard sends it once the assignment is on record. The
    reply is a :class:`StartAnswer`.

    :param task_id: Identity of the task.
    :param epoch: Epoch of the assignment.
    :param owner_epoch: Epoch of the sender's shard ownership.
    :param incarnation: Unique identity of the agent process that the order is
        for.
    :param clock_echo_ms: Latest time on the agent's clock that the owner has
        seen, in milliseconds.
    :param revision: Revision of the configuration that the owner has
        confirmed.
    :param needs: Capacity that the task may use.
    :param checkpoint: Checkpoint to resume from, empty for none.
    :param organisation: Organisation of the job.
    :param template: Template of the job.
    :param parameters: Parameters of the job, as JSON text.
    :param checkpoint_every_s: Interval between checkpoints in seconds, 0 for
        no checkpoints.
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
