"""Notices when the process has stood still."""

import math

import trio

from radishlanding.vm import boot_clock_s

CHECK_INTERVAL_S = 0.25
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
        """Prepare the watch; :meth:`run` must run from then on."""
        self._checked_s = boot_clock_s()
        self._resumed_s = -math.inf

    async def run(self):
        """Check the clock until cancelled."""
        while True:
            self._check()
            await trio.sleep(CHECK_INTERVAL_S)

    def is_recent(self):
        """Return whether a suspension has ended in the last seconds."""
        self._check()
        return self._checked_s - self._resumed_s < RECENT_S

    def _check(self):
        # Other tasks may run before run() does after a suspension.
        now_s = boot_clock_s()
        if now_s - self._checked_s > CHECK_INTERVAL_S + MIN_SUSPENSION_S:
            self._resumed_s = now_s
        self._checked_s = now_s
