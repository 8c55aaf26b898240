"""Error for an allocation that does not fit."""


class InsufficientCapacity(Exception):
    """An allocation needs more than the VM has free."""

    def __init__(self, *, needs, free):
        """Record both amounts.

        :param needs: :class:`Capacity` that was requested.
        :param free: :class:`Capacity` that is free.
        """
        super().__init__(f"needs {needs}, free {free}")
        self.needs = needs
        self.free = free
