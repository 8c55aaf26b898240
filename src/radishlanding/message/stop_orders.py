"""Orders to stop attempts on a VM."""

import dataclasses

from radishlanding.message.task_key import TaskKey


@dataclasses.dataclass(slots=True, kw_only=True)
class StopOrders:
    """Order an agent to stop attempts on its worker.

    A leader sends it. The reply is an :class:`Accepted`; the ends follow in a
    :class:`VmReport`.

    :param vm: Identity of the VM.
    :param epoch: Epoch of the sender's leadership.
    :param keys: Attempts to stop; the epoch of each key is its attempt.
    """

    vm: str
    epoch: int
    keys: list[TaskKey]
