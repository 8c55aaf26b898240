"""How fast filling tasks may work beside tasks that must answer in time."""

# Tail latency as a share of its bound.
HIGH_SHARE = 0.9
LOW_SHARE = 0.7
STOP_SHARE = 1.4
RAISE_PERCENT = 15
FULL_PERCENT = 100
# Slower than this a filling task makes next to no progress.
LEAST_PERCENT = 10


class PaceControl:
    """Set one pace for all filling tasks of a VM.

    It falls by half and rises by steps, as the figures lag by half a second
    and change within seconds.
    """

    __slots__ = ("percent",)

    def __init__(self):
        """Start at full speed."""
        self.percent = FULL_PERCENT

    def update(self, share):
        """Take the worst tail latency and return the pace.

        :param share: Tail latency of the slowest serving task as a share of
            its bound, 0 where none serves.
        :returns: Pace in percent.
        """
        if share > STOP_SHARE:
            self.percent = 0
        elif share > HIGH_SHARE:
            half = self.percent // 2
            self.percent = half if half >= LEAST_PERCENT else 0
        elif share < LOW_SHARE:
            self.percent = min(FULL_PERCENT, self.percent + RAISE_PERCENT)
        return self.percent
