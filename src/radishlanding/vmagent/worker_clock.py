"""Relates a worker's clock to the agent's."""

from radishlanding.vm import boot_clock_s

# Workers' clocks may run 2 % slow; a little more covers the rounding.
SLOW_CLOCK = 1.025
# Time between a worker's reading of its clock and ours of its answer.
ANSWER_S = 0.2


class WorkerClock:
    """Give deadlines on a worker's clock, and tell when they have passed."""

    __slots__ = ("_at_s", "_clock_ms", "_hold_max_s", "held_until_s")

    def __init__(self, *, hold_max_s, may_be_held):
        """Start without a reading.

        :param hold_max_s: Longest time that a worker is held by a deadline,
            in seconds.
        :param may_be_held: Whether an earlier agent may have held it.
        """
        self._hold_max_s = hold_max_s
        self._at_s = 0.0
        self._clock_ms = None
        self.held_until_s = 0.0
        if may_be_held:
            self.held_until_s = boot_clock_s() + hold_max_s

    @property
    def is_known(self):
        """Return whether the worker's clock was ever read."""
        return self._clock_ms is not None

    def read(self, clock_ms):
        """Take a reading of the worker's clock."""
        self._clock_ms = clock_ms
        self._at_s = boot_clock_s()

    def forget(self):
        """Drop the reading, for a worker that has started again.

        It may have taken a deadline on the clock of its last boot, which
        was ahead; only the platform's bound limits for how long.
        """
        self._clock_ms = None
        self.held_until_s = boot_clock_s() + self._hold_max_s

    def deadline_ms(self, remaining_s):
        """Return a deadline on the worker's clock, and remember it.

        :param remaining_s: Time from now, in seconds.
        """
        now_s = boot_clock_s()
        end_s = now_s + remaining_s
        self.held_until_s = max(
            self.held_until_s, end_s + remaining_s * (SLOW_CLOCK - 1)
        )
        passed_s = (now_s - self._at_s) / SLOW_CLOCK
        return int(self._clock_ms + (passed_s + remaining_s) * 1000)

    def has_lapsed(self):
        """Return whether every deadline that was given has passed."""
        return boot_clock_s() > self.held_until_s + ANSWER_S
