"""Bounds the start orders of one workflow in a round."""

import math

# Size of a start order, but for the workflow's specification.
ORDER_OVERHEAD_BYTES = 300


class OrderBudget:
    """Count the orders of a workflow, and say how many a VM should get.

    The orders for one VM share a message with one specification, which is
    most of it. It answers the load of wide steps on a slow link: with a
    message for each task, specifications take all of the link, and tasks
    wait beside free VMs.
    """

    __slots__ = ("_left_bytes", "_left_tasks", "_spec_bytes", "_vms")

    def __init__(self, *, spec_bytes, max_bytes=math.inf, max_tasks=math.inf):
        """Start without orders.

        :param spec_bytes: Size of the workflow's specification.
        :param max_bytes: Size of all orders, which the last may exceed.
        :param max_tasks: Number of tasks, which a gang may exceed.
        """
        self._left_bytes = max_bytes
        self._left_tasks = max_tasks
        self._spec_bytes = spec_bytes
        self._vms = set()

    @property
    def is_spent(self):
        """Return whether no further task is to be placed."""
        return self._left_bytes <= 0 or self._left_tasks <= 0

    def take(self, vm):
        """Count the order of a task that is placed on a VM."""
        self._left_tasks -= 1
        self._left_bytes -= ORDER_OVERHEAD_BYTES
        if vm not in self._vms:
            self._vms.add(vm)
            self._left_bytes -= self._spec_bytes

    def tasks_per_vm(self, count):
        """Return how many of a step's tasks should go to a VM together.

        :param count: Number of tasks that are ready.
        :returns: One if there is room for a message for each of them.
            Otherwise as many as make the specification no more than half of
            a message, fewer where that makes the messages equal.
        """
        size_bytes = self._spec_bytes + ORDER_OVERHEAD_BYTES
        if count * size_bytes <= self._left_bytes:
            return 1
        most = max(1, math.ceil(self._spec_bytes / ORDER_OVERHEAD_BYTES))
        return math.ceil(count / math.ceil(count / most))
