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
    :param specs: Specifications that orders name by number.
    """

    vm: str
    epoch: int
    boot: str
    clock_echo_ms: int
    orders: list[TaskOrder]
    specs: list[str] = dataclasses.field(default_factory=list)

    def share_specs(self):
        """Move the specifications out of the orders, equal ones as one."""
        numbers = {}
        for order in self.orders:
            order.spec_number = numbers.setdefault(
                order.spec, len(numbers) + 1
            )
            order.spec = ""
        self.specs = list(numbers)

    def restore_specs(self):
        """Move the specifications back into the orders.

        :raises ValueError: An order names a number without specification.
        """
        for order in self.orders:
            if not 0 <= order.spec_number <= len(self.specs):
                raise ValueError(f"no specification {order.spec_number}")
            if order.spec_number:
                order.spec = self.specs[order.spec_number - 1]
                order.spec_number = 0
