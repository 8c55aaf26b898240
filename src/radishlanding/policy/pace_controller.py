"""Paces best-effort tasks beside latency-critical ones."""

# Tail latencies as shares of the latency target: heavy tasks stop above the
# first, light tasks speed up below the second.
STOP_SHARE = 0.95
HIGH_SHARE = 0.75
FULL_PERCENT = 100
# Granularity of paces; below one step a task makes next to no progress.
STEP_PERCENT = 10
LIGHT_RAISE_PERCENT = 20
# Headroom left to serving tasks: a tail latency of 0.83 of its target.
RESERVED_HEADROOM = 1.2
# Multiple of the baseline's mean deviation that is reserved in addition, as
# the baseline may fall before the next sample.
RESERVED_PER_DEVIATION = 1.0
# Weight of one sample in the moving average of the deviation.
DEVIATION_GAIN = 0.2
# The budget exceeds the measured cost of heavy tasks by this headroom at
# most, as the weights of images may be wrong.
MAX_BUDGET_RAISE = 0.7
# The weight of an image may be learned as 0, and its tasks still use
# processors.
MIN_LIGHT_COST = 0.01
# Keeps a quotient that is a whole step from being rounded down.
ROUNDING = 1e-9


class PaceController:
    """Set the paces of the best-effort tasks of a VM.

    A pace is a speed in percent of the full one.

    Heavy tasks, those of images that are not known to be light, share a
    budget: the headroom that serving tasks would have without them, less a
    reserve. The budget follows measurements that lag by half a second, so
    wrong weights only change how fast it settles. Once no heavy task runs
    any more, light tasks are slowed down near the latency target, the last
    ones first, and stopped above it.

    Headroom is what :func:`headroom_of` returns.
    """

    __slots__ = (
        "_baseline",
        "_has_no_serving",
        "_mean_deviation",
        "budget",
        "light_percent",
    )

    def __init__(self):
        """Start before any best-effort task."""
        self._baseline = None
        self._has_no_serving = True
        self._mean_deviation = 0.0
        self.budget = MAX_BUDGET_RAISE
        self.light_percent = FULL_PERCENT

    def update(self, headroom, *, heavy_count, heavy_cost):
        """Process the newest measurements.

        :param headroom: Headroom of the serving task that is nearest to its
            latency target, None without serving tasks.
        :param heavy_count: Number of heavy tasks on the VM.
        :param heavy_cost: Headroom that they took in the same period.
        """
        self._has_no_serving = headroom is None
        if self._has_no_serving:
            self._baseline = None
            self.budget = MAX_BUDGET_RAISE
            self.light_percent = FULL_PERCENT
            return
        share = 1 / headroom
        baseline = headroom + heavy_cost
        self._update_baseline(baseline)
        self._update_light(share, heavy_runs=bool(heavy_count and self.budget))
        if share > STOP_SHARE:
            self.budget = 0.0
        else:
            spare = (
                baseline
                - RESERVED_HEADROOM
                - RESERVED_PER_DEVIATION * self._mean_deviation
            )
            self.budget = max(0.0, min(spare, heavy_cost + MAX_BUDGET_RAISE))

    def _update_baseline(self, baseline):
        """Track the headroom that there would be without heavy tasks."""
        if self._baseline is not None:
            deviation = abs(baseline - self._baseline)
            self._mean_deviation += DEVIATION_GAIN * (
                deviation - self._mean_deviation
            )
        self._baseline = baseline

    def _update_light(self, share, *, heavy_runs):
        # Measurements are noisy: a value just below the target may stand for
        # a tail latency above it.
        if share < HIGH_SHARE:
            self.light_percent = min(
                FULL_PERCENT, self.light_percent + LIGHT_RAISE_PERCENT
            )
        elif heavy_runs:
            return
        elif share > 1:
            self.light_percent = 0
        elif share > STOP_SHARE:
            self.light_percent //= 2

    def heavy_percents(self, costs):
        """Return the paces of heavy tasks, in percent.

        :param costs: Headroom that each task takes at full speed; earlier
            tasks are served first.
        :returns: A pace for each cost, in the same order.
        """
        if self._has_no_serving:
            return [FULL_PERCENT] * len(costs)
        return _divide(self.budget, costs)

    def light_percents(self, costs):
        """Return the paces of light tasks, in percent.

        Together they take no more headroom than if all of them ran at
        ``light_percent``. A workflow waits for its last task, so that some
        tasks at full speed end more workflows than all at the same pace.

        :param costs: Headroom that each task takes at full speed; earlier
            tasks are served first.
        :returns: A pace for each cost, in the same order.
        """
        if self.light_percent == FULL_PERCENT:
            return [FULL_PERCENT] * len(costs)
        costs = [max(cost, MIN_LIGHT_COST) for cost in costs]
        return _divide(sum(costs) * self.light_percent / FULL_PERCENT, costs)


def _divide(budget, costs):
    """Return paces that take no more than a budget of headroom.

    :param budget: Headroom that all tasks may take together.
    :param costs: Headroom that each task takes at full speed; earlier tasks
        are served first.
    """
    percents, left = [], budget
    for cost in costs:
        percent = FULL_PERCENT
        if left <= 0:
            percent = 0
        elif cost > left:
            steps = (left / cost + ROUNDING) * FULL_PERCENT // STEP_PERCENT
            percent = int(steps) * STEP_PERCENT
        percents.append(percent)
        left -= cost * percent / FULL_PERCENT
    return percents
