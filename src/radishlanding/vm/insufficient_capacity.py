"""Raised when a VM cannot hold more."""


class InsufficientCapacity(Exception):
    """Say what was asked for and what is free."""

    def __init__(self, *, needs, free):
        """Keep both amounts."""
        super().__init__(f"needs {needs}, free {free}")
        self.needs = needs
        self.free = free
