"""Start tasks on one VM."""

import dataclasses

from radishlanding.message.task_order import TaskOrder


@dataclasses.dataclass(slots=True, kw_only=True)
class StartOrders:
    """Start tasks on one boot of a worker.

    :param vm: Identity of the VM.
    :param epoch: Epoch of the sender's leadership.
    :param boot: Boot of the worker that is meant.
    :param clock_echo_ms: Newest clock of the agent that the sender had seen.
    :param orders: What to start.
    """

    vm: str
    epoch: int
    boot: str
    clock_echo_ms: int
    orders: list[TaskOrder]
