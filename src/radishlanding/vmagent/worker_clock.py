"""Converts deadlines to the clock of a worker."""

from radishlanding.vm import boot_clock_s

# A worker's clock may run 2 % slow; the rest covers rounding.
CLOCK_RATE_MARGIN = 1.025
# Allowed between a worker's reading of its clock and the agent's receipt.
ANSWER_DELAY_S = 0.2
# An extension that leaves less of the one before is late.
LATE_HOLD_S = 1.5


class WorkerClock:
    """Estimate a worker's clock, and track the deadlines given to it.

    A worker holds its tasks until the newest deadline, which is a time on
    its own clock.
    """

    __slots__ = (
        "_answered_until_s",
        "_clock_ms",
        "_hold_max_s",
        "_read_at_s",
        "held_until_s",
    )

    def __init__(self, *, hold_max_s, may_be_held):
        """Start without a reading.

        :param hold_max_s: Longest time that a deadline may hold a worker, in
            seconds.
        :param may_be_held: Whether an earlier agent may have given a
            deadline that still holds.
        """
        # End of the last extension that was answered, None for none.
        self._answered_until_s = None
        self._hold_max_s = hold_max_s
        self._read_at_s = 0.0
        self._clock_ms = None
        self.held_until_s = 0.0
        if may_be_held:
            self.held_until_s = boot_clock_s() + hold_max_s

    @property
    def is_known(self):
        """Return whether there is a reading of the worker's clock."""
        return self._clock_ms is not None

    def update(self, clock_ms):
        """Store a reading of the worker's clock.

        :param clock_ms: The reading, in milliseconds.
        """
        self._clock_ms = clock_ms
        self._read_at_s = boot_clock_s()

    def reset(self):
        """Drop the reading after the worker has restarted.

        The new boot may have accepted a deadline on the clock of the last
        one, which was ahead, so that only the longest hold bounds it.
        """
        self._answered_until_s = None
        self._clock_ms = None
        self.held_until_s = boot_clock_s() + self._hold_max_s

    def deadline_ms(self, remaining_s):
        """Return a deadline on the worker's clock, and track it.

        The worker's clock is taken to have run as slowly as it may since the
        last reading, so that the deadline is no more than ``remaining_s``
        ahead of it.

        :param remaining_s: Time from now, in seconds.
        :returns: The deadline, in milliseconds.
        """
        now_s = boot_clock_s()
        end_s = now_s + remaining_s
        self.held_until_s = max(
            self.held_until_s, end_s + remaining_s * (CLOCK_RATE_MARGIN - 1)
        )
        passed_s = (now_s - self._read_at_s) / CLOCK_RATE_MARGIN
        return int(self._clock_ms + (passed_s + remaining_s) * 1000)

    def record_extension(self, end_s):
        """Record that the worker has answered an extension.

        :param end_s: End of the extension, on the boot clock, in seconds.
        :returns: How much of the one before was left, in seconds, if that was
            less than ``LATE_HOLD_S`` and at least as much is gained; negative
            if it had ended. None otherwise.
        """
        before_s = self._answered_until_s
        if before_s is None:
            self._answered_until_s = end_s
            return None
        self._answered_until_s = max(before_s, end_s)
        if end_s - before_s < LATE_HOLD_S:
            return None
        left_s = before_s - boot_clock_s()
        return left_s if left_s < LATE_HOLD_S else None

    def has_expired(self):
        """Return whether every deadline that was given has passed."""
        return boot_clock_s() > self.held_until_s + ANSWER_DELAY_S
