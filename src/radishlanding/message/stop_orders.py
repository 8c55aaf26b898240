"""Stop tasks on one VM."""

import dataclasses

from radishlanding.message.task_key import TaskKey


@dataclasses.dataclass(slots=True, kw_only=True)
class StopOrders:
    """Stop attempts; their ends are reported.

    :param vm: Identity of the VM.
    :param epoch: Epoch of the sender's leadership.
    :param keys: What to stop; the epoch of each is its attempt.
    """

    vm: str
    epoch: int
    keys: list[TaskKey]
