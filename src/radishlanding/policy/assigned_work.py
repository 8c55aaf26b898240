"""Processors that running tasks are assigned to."""


class AssignedWork:
    """Add up processors, and the expected run times of their tasks."""

    __slots__ = ("_run_ms", "millicores")

    def __init__(self):
        """Start without tasks."""
        # Weighted by processors.
        self._run_ms = 0.0
        self.millicores = 0

    def add(self, millicores, run_ms):
        """Add tasks.

        :param millicores: The processors of all of them, in millicores.
        :param run_ms: Expected run time of each, in milliseconds.
        """
        self.millicores += millicores
        self._run_ms += millicores * run_ms

    @property
    def mean_run_ms(self):
        """Return the mean run time by processor, in milliseconds."""
        return self._run_ms / self.millicores if self.millicores else 0.0
