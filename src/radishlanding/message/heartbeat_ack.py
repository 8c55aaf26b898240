"""Reply to a heartbeat."""

import dataclasses

from radishlanding.message.task_key import TaskKey


@dataclasses.dataclass(slots=True, kw_only=True)
class HeartbeatAck:
    """Answer a heartbeat, and extend the VM lease if it is granted.

    An extended lease counts from the time at which the heartbeat was sent.

    :param owner_epoch: Epoch of the sender's shard ownership.
    :param confirmed: Whether the store has recently confirmed the sender's
        ownership.
    :param granted: Whether the lease is extended.
    :param settled: Ended assignments that are on record and need not be
        reported again.
    :param unwanted: Assignments that the agent must stop.
    """

    owner_epoch: int
    confirmed: bool
    granted: bool
    settled: list[TaskKey]
    unwanted: list[TaskKey]
