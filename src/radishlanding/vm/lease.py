"""An agent's right to run tasks on its VM."""

import time


def boot_clock_s():
    """Return seconds since boot, counting time asleep."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class VmLease:
    """Count the time for which the owner lets tasks run.

    The lease counts from the sending of the heartbeat that was
    acknowledged, so that it always ends before the owner's own count.
    """

    __slots__ = ("_clock", "_duration_s", "_until_s")

    def __init__(self, *, duration_s, clock=boot_clock_s):
        """Start without a lease.

        :param duration_s: How long one acknowledgement lasts, in seconds.
        :param clock: Callable that returns seconds and never steps back.
        """
        self._clock = clock
        self._duration_s = duration_s
        self._until_s = 0.0

    def extend(self, *, sent_s):
        """Extend the lease from the sending time of a heartbeat."""
        self._until_s = max(self._until_s, sent_s + self._duration_s)

    @property
    def was_held(self):
        """Return whether there ever was a lease."""
        return self._until_s > 0

    def remaining_s(self):
        """Return the seconds left, 0 when the lease has lapsed."""
        return max(0.0, self._until_s - self._clock())
