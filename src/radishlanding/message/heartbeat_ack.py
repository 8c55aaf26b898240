"""Grant a VM lease that counts from the heartbeat's sending."""

import dataclasses

from radishlanding.message.task_key import TaskKey


@dataclasses.dataclass(slots=True, kw_only=True)
class HeartbeatAck:
    """Grant a VM lease that counts from the heartbeat's sending.

    :param owner_epoch: Epoch of the ownership.
    :param confirmed: Whether the store confirmed the owner lately.
    :param granted: Whether the lease is extended.
    :param settled: Ended assignments that are on record.
    :param unwanted: Assignments that must stop.
    """

    owner_epoch: int
    confirmed: bool
    granted: bool
    settled: list[TaskKey]
    unwanted: list[TaskKey]
