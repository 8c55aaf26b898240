"""How fast filling tasks may work beside tasks that must answer in time."""

# Tail latency as a share of its bound.
HIGH_SHARE = 0.75
LOW_SHARE = 0.55
STOP_SHARE = 0.95
RAISE_PERCENT = 5
FULL_PERCENT = 100
# Pace of tasks that are known to disturb, when the first of them comes.
FIRST_PERCENT = 20
# Slower than this a filling task makes next to no progress.
LEAST_PERCENT = 10
# Rounds above the bound after which light tasks stop, too.
PATIENT_ROUNDS = 2


class PaceControl:
    """Set the paces of the filling tasks of a VM.

    Heavy tasks, which are known to disturb, are slowed down first; light
    ones only when a bound stays exceeded. A pace falls by half and rises by
    steps, as the figures lag by half a second and change within seconds.
    """

    __slots__ = ("_rounds_over", "heavy_percent", "light_percent")

    def __init__(self):
        """Start before any filling task."""
        self._rounds_over = 0
        self.heavy_percent = FIRST_PERCENT
        self.light_percent = FULL_PERCENT

    def update(self, share, *, has_heavy):
        """Take the worst tail latency.

        :param share: Tail latency of the slowest serving task as a share of
            its bound, 0 where none serves.
        :param has_heavy: Whether a heavy task is on the VM.
        """
        if not share:
            self._rounds_over = 0
            self.heavy_percent = self.light_percent = FULL_PERCENT
            return
        self._rounds_over = self._rounds_over + 1 if share > 1 else 0
        if share > STOP_SHARE:
            self.heavy_percent = 0
        elif share > HIGH_SHARE:
            half = self.heavy_percent // 2
            self.heavy_percent = half if half >= LEAST_PERCENT else 0
        elif not has_heavy:
            self.heavy_percent = FIRST_PERCENT
        elif share < LOW_SHARE:
            self.heavy_percent = min(
                FULL_PERCENT, self.heavy_percent + RAISE_PERCENT
            )
        if self._rounds_over >= PATIENT_ROUNDS or (
            self._rounds_over and not has_heavy
        ):
            self.light_percent = 0
        elif share < HIGH_SHARE:
            self.light_percent = min(
                FULL_PERCENT, self.light_percent + 4 * RAISE_PERCENT
            )
