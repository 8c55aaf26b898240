"""Bounds what is placed in one round."""

import math

from radishlanding.policy.order_budget import ORDER_OVERHEAD_BYTES
from radishlanding.policy.order_budget import OrderBudget


class PlacementBudget:
    """Collect assignments until enough are placed in a round."""

    __slots__ = ("_left_bytes", "_max_tasks", "assignments")

    def __init__(self, *, max_tasks, max_bytes=None):
        """Start without assignments.

        :param max_tasks: Number of assignments, which one workflow may
            exceed.
        :param max_bytes: Size of the start orders, which one task or a gang
            may exceed; None for no limit.
        """
        self._left_bytes = math.inf if max_bytes is None else max_bytes
        self._max_tasks = max_tasks
        self.assignments = []

    @property
    def is_spent(self):
        """Return whether nothing more is to be placed."""
        return len(self.assignments) >= self._max_tasks or (
            self._left_bytes <= 0
        )

    def orders(self, record, *, max_tasks=math.inf):
        """Return the :class:`OrderBudget` of a workflow.

        :param max_tasks: Number of its tasks, which a gang may exceed.
        """
        return OrderBudget(
            spec_bytes=len(record.workflow.spec),
            max_bytes=self._left_bytes,
            max_tasks=max_tasks,
        )

    def take(self, record, assignments):
        """Add assignments of a workflow.

        The orders for one VM share the specification.
        """
        vms = {assignment.vm for assignment in assignments}
        self._left_bytes -= len(vms) * len(record.workflow.spec)
        self._left_bytes -= len(assignments) * ORDER_OVERHEAD_BYTES
        self.assignments += assignments
