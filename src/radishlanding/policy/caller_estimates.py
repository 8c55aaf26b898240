"""Run times as callers estimate them."""

from radishlanding.policy.run_time_estimate import RunTimeEstimate

# Callers' estimates are off by up to nine tenths.
CALLER_SPREAD = 0.9


class CallerEstimates:
    """Take the estimate of the caller for each step, and learn nothing."""

    __slots__ = ()

    revision = 0

    def estimate(self, workflow, number):
        """Return the caller's estimate; see :class:`RunTimes`."""
        return RunTimeEstimate(
            run_ms=workflow.steps[number].estimated_ms,
            spread=CALLER_SPREAD,
            samples=0,
        )

    def observe(self, workflow, number, *, run_ms, weight):
        """Ignore an observation; see :class:`RunTimeLearner`."""
        return False

    def rows(self):
        """Return no rows; see :class:`RunTimeLearner`."""
        return []

    def restore(self, rows):
        """Ignore the rows; see :class:`RunTimeLearner`."""
