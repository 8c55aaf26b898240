"""Limits the rate of store calls of one process."""

import trio

from radishlanding.store.unavailable import StoreUnavailable


class CallBudget:
    """A token bucket that limits the rate of calls."""

    __slots__ = ("_burst", "_filled_s", "_rate", "_tokens")

    def __init__(self, *, rate, burst):
        """Start with a full bucket.

        :param rate: Calls per second.
        :param burst: Size of the bucket: calls that may be made at once.
        """
        self._rate = rate
        self._burst = burst
        self._tokens = float(burst)
        self._filled_s = None

    async def acquire(self, *, timeout_s):
        """Wait for the token of one call.

        :param timeout_s: Longest wait, in seconds.
        :raises StoreUnavailable: The wait would take longer.
        """
        now_s = trio.current_time()
        if self._filled_s is not None:
            refill = (now_s - self._filled_s) * self._rate
            self._tokens = min(self._burst, self._tokens + refill)
        self._filled_s = now_s
        wait_s = max(0.0, (1 - self._tokens) / self._rate)
        if wait_s > timeout_s:
            raise StoreUnavailable("call budget is exhausted", was_sent=False)
        self._tokens -= 1
        await trio.sleep(wait_s)
