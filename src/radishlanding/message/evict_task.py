"""Order to evict a task."""

import dataclasses


@dataclasses.dataclass(slots=True, kw_only=True)
class EvictTask:
    """Order an agent to checkpoint a task and stop it.

    The owner of the VM's shard sends it. The reply is an :class:`Accepted`.

    :param task_id: Identity of the task.
    :param epoch: Epoch of the assignment.
    :param owner_epoch: Epoch of the sender's shard ownership.
    """

    task_id: str
    epoch: int
    owner_epoch: int
