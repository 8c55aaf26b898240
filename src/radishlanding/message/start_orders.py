"""Orders to start attempts on a VM."""

import dataclasses

from radishlanding.message.task_order import TaskOrder


@dataclasses.dataclass(slots=True, kw_only=True)
class StartOrders:
    """Order an agent to start attempts on its worker.

    A leader sends it once the assignments are on record. The reply is a
    :class:`StartOrdersAnswer`.

    :param vm: Identity of the VM.
    :param epoch: Epoch of the sender's leadership.
    :param boot: Boot of the worker that the orders are for.
    :param clock_echo_ms: Latest time on the agent's clock that the leader has
        seen, in milliseconds.
    :param orders: Attempts to start.
    """

    vm: str
    epoch: int
    boot: str
    clock_echo_ms: int
    orders: list[TaskOrder]
