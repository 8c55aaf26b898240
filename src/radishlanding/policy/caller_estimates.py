"""Run times as callers estimate them."""

from radishlanding.policy.run_time_estimate import RunTimeEstimate

# Callers' estimates are off by up to nine tenths.
CALLER_SPREAD = 0.9


class CallerEstimates:
    """Take the estimate of the caller for each step."""

    __slots__ = ()

    def estimate(self, workflow, number):
        """Return the caller's estimate; see :class:`RunTimes`."""
        return RunTimeEstimate(
            run_ms=workflow.steps[number].estimated_ms,
            spread=CALLER_SPREAD,
            samples=0,
        )
