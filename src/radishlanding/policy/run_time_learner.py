"""Interface of run time estimates that learn."""

import typing

from radishlanding.policy.run_times import RunTimes


class RunTimeLearner(RunTimes, typing.Protocol):
    """Estimate run times by what was observed, and keep it for a successor.

    ``revision`` grows with each observation.
    """

    revision: int

    def observe(self, workflow, number, *, run_ms, weight):
        """Process the run time of one task, or of a part of its work.

        :param workflow: A :class:`radishlanding.workflow.Workflow`.
        :param number: Number of the step, from 0.
        :param run_ms: Run time of a whole task at full pace, in milliseconds,
            above 0.
        :param weight: Share of the task's work that was observed, above 0.
        :returns: Whether the step is now counted for other steps.
        """

    def rows(self):
        """Return what was observed, as :class:`RunTimeRow` objects."""

    def restore(self, rows):
        """Adopt what another process has observed.

        :param rows: :class:`RunTimeRow` objects.
        """
