"""Notices when the process has stood still."""

import math

from radishlanding.vm import boot_clock_s

# Longest time between two checks of a process that runs.
MAX_CHECK_INTERVAL_S = 0.5
# Shorter delays are common beside load, and clients wait longer than that.
MIN_SUSPENSION_S = 1.0
# Covers the time in which requests are read that came meanwhile.
RECENT_S = 2.0


class SuspensionWatch:
    """Tell whether the process was suspended a moment ago.

    What it reads then may have been sent long before, and its clients may
    have left.
    """

    __slots__ = ("_checked_s", "_resumed_s")

    def __init__(self):
        """Prepare the watch.

        :meth:`check` must be called every ``MAX_CHECK_INTERVAL_S`` at least.
        """
        self._checked_s = boot_clock_s()
        self._resumed_s = -math.inf

    def is_recent(self):
        """Return whether a suspension has ended in the last seconds."""
        # After a suspension a request may be read before the next check.
        self.check()
        return self._checked_s - self._resumed_s < RECENT_S

    def check(self):
        """Notice a suspension since the last check."""
        now_s = boot_clock_s()
        if now_s - self._checked_s > MAX_CHECK_INTERVAL_S + MIN_SUSPENSION_S:
            self._resumed_s = now_s
        self._checked_s = now_s
