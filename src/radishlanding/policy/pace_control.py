"""How fast filling tasks may work beside tasks that must answer in time."""

# Tail latency as a share of its bound.
STOP_SHARE = 0.95
HIGH_SHARE = 0.75
LOW_SHARE = 0.55
IDLE_SHARE = 0.4
FULL_PERCENT = 100
# Slower than this a filling task makes next to no progress.
LEAST_PERCENT = 10
# Budgets are sums of paces: one task at full speed takes 100 of them.
FIRST_BUDGET = 60
RAISE = 20
IDLE_RAISE = 50
LIGHT_RAISE_PERCENT = 20


class PaceControl:
    """Set the paces of the filling tasks of a VM.

    Heavy tasks, which are known to disturb, share a budget: a few of them
    work at full speed and the others wait, so that some are done soon. The
    budget falls at once and rises by steps, as the figures lag by half a
    second and change within seconds; after a fall it comes back to half of
    what was too much. Light tasks are slowed down near the bound, and stop
    above it, once no heavy task works any more.
    """

    __slots__ = (
        "_ceiling",
        "_is_alone",
        "heavy_budget",
        "light_percent",
    )

    def __init__(self):
        """Start before any filling task."""
        self._ceiling = FIRST_BUDGET
        self._is_alone = True
        self.heavy_budget = FIRST_BUDGET
        self.light_percent = FULL_PERCENT

    def update(self, share, *, heavy_count):
        """Take the worst tail latency.

        :param share: Tail latency of the slowest serving task as a share of
            its bound, 0 where none serves.
        :param heavy_count: Heavy tasks on the VM.
        """
        self._is_alone = not share
        if self._is_alone:
            self._ceiling = self.heavy_budget = FIRST_BUDGET
            self.light_percent = FULL_PERCENT
            return
        if not (heavy_count and self.heavy_budget):
            self._lower_light(share)
        if share > HIGH_SHARE:
            self._lower(share)
        elif not heavy_count:
            self._ceiling = self.heavy_budget = FIRST_BUDGET
        elif share < LOW_SHARE:
            self._raise(share, FULL_PERCENT * heavy_count)
        if share < HIGH_SHARE:
            self.light_percent = min(
                FULL_PERCENT, self.light_percent + LIGHT_RAISE_PERCENT
            )

    def _lower_light(self, share):
        # Figures are rough: one just below the bound may stand for a tail
        # above it.
        if share > 1:
            self.light_percent = 0
        elif share > STOP_SHARE:
            self.light_percent //= 2

    def _lower(self, share):
        half = self.heavy_budget // 2
        if half >= LEAST_PERCENT:
            self._ceiling = half
        self.heavy_budget = (
            half if share <= STOP_SHARE and half >= LEAST_PERCENT else 0
        )

    def _raise(self, share, most):
        step = IDLE_RAISE if share < IDLE_SHARE else RAISE
        wanted = max(self._ceiling, self.heavy_budget + step)
        self.heavy_budget = min(most, wanted)

    def heavy_percents(self, count):
        """Return the paces of heavy tasks, those that go first in front."""
        if self._is_alone:
            return [FULL_PERCENT] * count
        percents, left = [], self.heavy_budget
        for _ in range(count):
            percent = min(FULL_PERCENT, left)
            percents.append(percent if percent >= LEAST_PERCENT else 0)
            left -= percents[-1]
        return percents
