"""Clock for the age of what is to be forgotten."""

from radishlanding.dispatch.wall_clock import now_ms
from radishlanding.vm import boot_clock_s

# Steps of the wall clock up to this size make nothing expire early. What is
# kept longer for them takes memory.
MAX_STEP_MS = 600_000


class RetentionClock:
    """Tell the wall clock's time without its steps forward.

    Records have times of the wall clock. A step forward would make all of
    them expire at once, and their callers would be told that what they had
    submitted or cancelled is unknown. So the clock goes on steadily after
    such a step; after a step backward it is behind as well.
    """

    __slots__ = ("_offset_ms",)

    def __init__(self, *, last_ms=0):
        """Start the clock.

        :param last_ms: Latest time on record, as Unix time in milliseconds;
            the wall clock of another process may have been behind.
        """
        start_ms = min(now_ms(), last_ms) if last_ms else now_ms()
        self._offset_ms = start_ms - _steady_ms()

    def now_ms(self):
        """Return the Unix time in milliseconds, or an earlier time.

        To be called often, as only steps between two calls are noticed.
        """
        wall_ms, steady_ms = now_ms(), _steady_ms()
        self._offset_ms = max(
            min(self._offset_ms, wall_ms - steady_ms),
            wall_ms - steady_ms - MAX_STEP_MS,
        )
        return steady_ms + self._offset_ms


def _steady_ms():
    return int(boot_clock_s() * 1000)
