"""The lease under which an agent runs tasks on its VM."""

import time


def boot_clock_s():
    """Return the seconds since boot, including time suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class VmLease:
    """Track how long an agent may run tasks without an acknowledgement.

    The lease starts when the acknowledged heartbeat was sent, so it always
    expires on the agent before it expires on the owner.
    """

    __slots__ = ("_clock", "_duration_s", "_expires_s")

    def __init__(self, *, duration_s, clock=boot_clock_s):
        """Start without a lease.

        :param duration_s: Duration of the lease, in seconds.
        :param clock: Monotonic clock; a callable that returns seconds.
        """
        self._clock = clock
        self._duration_s = duration_s
        self._expires_s = 0.0

    def extend(self, *, sent_s):
        """Extend the lease after an acknowledgement.

        :param sent_s: When the heartbeat was sent, or an earlier time from
            which the lease counts, in seconds of the clock.
        """
        self._expires_s = max(self._expires_s, sent_s + self._duration_s)

    @property
    def was_held(self):
        """Return whether the lease was ever granted."""
        return self._expires_s > 0

    def remaining_s(self):
        """Return the seconds until the lease expires, 0 after that."""
        return max(0.0, self._expires_s - self._clock())
