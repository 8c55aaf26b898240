"""Processor time that a process spends on parsing long input."""

import time

import trio

# Time that may be spent at once, and the share of all time in the long run.
MAX_BURST_S = 0.005
MAX_SHARE = 0.5
# Between two looks of a connection that waits.
WAIT_S = 0.002


class ParsingBudget:
    """Keep long headers and tiny chunks from taking all processor time.

    16 KiB of headers take about 10 ms to parse, so that many clients which
    send such input would keep all else waiting. Its connections together
    parse for half of the time at most; short input is not counted.
    """

    __slots__ = ("_clock_s", "_left_s", "_updated_s")

    def __init__(self, *, clock_s=time.perf_counter):
        """Start with the whole burst.

        :param clock_s: Callable that returns the time in seconds.
        """
        self._clock_s = clock_s
        self._left_s = MAX_BURST_S
        self._updated_s = clock_s()

    def _refill(self):
        now_s = self._clock_s()
        gained_s = MAX_SHARE * (now_s - self._updated_s)
        self._left_s = min(MAX_BURST_S, self._left_s + gained_s)
        self._updated_s = now_s

    async def wait(self):
        """Wait until there is time left to parse long input."""
        self._refill()
        while self._left_s <= 0:
            await trio.sleep(WAIT_S)
            self._refill()

    def parse(self, function):
        """Return the result of a function, and count the time it takes."""
        started_s = self._clock_s()
        try:
            return function()
        finally:
            self._left_s -= self._clock_s() - started_s
