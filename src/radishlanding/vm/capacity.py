"""Amounts of resources."""

import dataclasses


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Capacity:
    """The resources that a VM has or that a task needs.

    :param millicores: Processor time, in thousandths of a core.
    :param memory_mb: Memory, in mebibytes.
    :param accelerators: Whole accelerators.
    """

    millicores: int = 0
    memory_mb: int = 0
    accelerators: int = 0

    def __add__(self, other):
        """Return the sum of each resource."""
        return Capacity(
            millicores=self.millicores + other.millicores,
            memory_mb=self.memory_mb + other.memory_mb,
            accelerators=self.accelerators + other.accelerators,
        )

    def __sub__(self, other):
        """Return the difference of each resource, possibly negative."""
        return Capacity(
            millicores=self.millicores - other.millicores,
            memory_mb=self.memory_mb - other.memory_mb,
            accelerators=self.accelerators - other.accelerators,
        )

    def holds(self, needs):
        """Return whether the needs fit into this capacity."""
        return (
            needs.millicores <= self.millicores
            and needs.memory_mb <= self.memory_mb
            and needs.accelerators <= self.accelerators
        )
