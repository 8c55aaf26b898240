"""Interface of run time estimates."""

import typing


class RunTimes(typing.Protocol):
    """Estimate how long the tasks of a step run."""

    def estimate(self, workflow, number):
        """Return the estimate for one task of a step.

        :param workflow: A :class:`radishlanding.workflow.Workflow`.
        :param number: Number of the step, from 0.
        :returns: A :class:`RunTimeEstimate`.
        """
