"""How fast filling tasks may work beside tasks that must answer in time."""

# Tail latency as a share of its bound.
STOP_SHARE = 0.95
HIGH_SHARE = 0.75
FULL_PERCENT = 100
# Paces are multiples of this; slower than it a filling task makes next to no
# progress.
STEP_PERCENT = 10
LIGHT_RAISE_PERCENT = 20
# Headroom that heavy tasks leave: tails of 0.83 of their bounds, and room for
# what else changes it until the next figures come, by the mean of late.
KEEP_HEADROOM = 1.2
KEEP_PER_SWING = 1.0
# Part of an error of that mean that one figure corrects.
SWING_RATE = 0.2
# Headroom that heavy tasks may take beyond what the last figures show that
# they take, as weights may be wrong.
RAISE = 0.7


class PaceController:
    """Set the paces of the filling tasks of a VM.

    Heavy tasks, which are known to disturb, share a budget: the headroom
    that the serving tasks would have without them, less what is kept. It
    follows the figures, which lag by half a second, so that wrong weights
    only make it slower or faster to settle. Light tasks are slowed down near
    the bound, and stop above it, once no heavy task works any more.

    Headroom is what :func:`headroom_of` returns.
    """

    __slots__ = ("_base", "_is_alone", "_swing", "budget", "light_percent")

    def __init__(self):
        """Start before any filling task."""
        self._base = None
        self._is_alone = True
        self._swing = 0.0
        self.budget = RAISE
        self.light_percent = FULL_PERCENT

    def update(self, headroom, *, heavy_count, heavy_cost):
        """Take the newest figures.

        :param headroom: That of the slowest serving task, None where none
            serves.
        :param heavy_count: Heavy tasks on the VM.
        :param heavy_cost: Headroom that they took in the same time.
        """
        self._is_alone = headroom is None
        if self._is_alone:
            self._base = None
            self.budget = RAISE
            self.light_percent = FULL_PERCENT
            return
        share = 1 / headroom
        base = headroom + heavy_cost
        self._follow(base)
        self._pace_light(share, heavy_works=bool(heavy_count and self.budget))
        if share > STOP_SHARE:
            self.budget = 0.0
        else:
            left = base - KEEP_HEADROOM - KEEP_PER_SWING * self._swing
            self.budget = max(0.0, min(left, heavy_cost + RAISE))

    def _follow(self, base):
        """Take the headroom that there would be without heavy tasks."""
        if self._base is not None:
            change = abs(base - self._base)
            self._swing += SWING_RATE * (change - self._swing)
        self._base = base

    def _pace_light(self, share, *, heavy_works):
        # Figures are rough: one just below the bound may stand for a tail
        # above it.
        if share < HIGH_SHARE:
            self.light_percent = min(
                FULL_PERCENT, self.light_percent + LIGHT_RAISE_PERCENT
            )
        elif heavy_works:
            return
        elif share > 1:
            self.light_percent = 0
        elif share > STOP_SHARE:
            self.light_percent //= 2

    def heavy_percents(self, costs):
        """Return the paces of heavy tasks, those that go first in front.

        :param costs: Headroom that each takes at full speed.
        """
        if self._is_alone:
            return [FULL_PERCENT] * len(costs)
        percents, left = [], self.budget
        for cost in costs:
            percent = FULL_PERCENT
            if cost > left:
                steps = left / cost * FULL_PERCENT // STEP_PERCENT
                percent = int(steps) * STEP_PERCENT
            if left <= 0:
                percent = 0
            percents.append(percent)
            left -= cost * percent / FULL_PERCENT
        return percents
