"""When a response is given up."""

import math

import trio


class ResponseDeadline:
    """Extend the time for a response while it proceeds."""

    __slots__ = (
        "_ends_s",
        "_min_bytes_per_s",
        "_received_bytes",
        "_received_s",
        "_silence_s",
        "_started_s",
    )

    def __init__(self, *, timeout_s, silence_s, min_bytes_per_s):
        """Start an exchange.

        :param timeout_s: Time for the whole exchange, in seconds.
        :param silence_s: Longest time without a byte, in seconds.
        :param min_bytes_per_s: Slowest rate after ``silence_s``; 0 for no
            bound.
        """
        self._started_s = self._received_s = trio.current_time()
        self._ends_s = self._started_s + timeout_s
        self._min_bytes_per_s = min_bytes_per_s
        self._received_bytes = 0
        self._silence_s = silence_s

    def record_received(self, size_bytes):
        """Record that a part of the response has arrived."""
        self._received_bytes += size_bytes
        self._received_s = trio.current_time()

    def due_s(self):
        """Return when the exchange fails unless more arrives.

        In seconds on trio's clock.
        """
        transfer_s = math.inf
        if self._min_bytes_per_s:
            transfer_s = self._received_bytes / self._min_bytes_per_s
        return min(
            self._ends_s,
            self._received_s + self._silence_s,
            self._started_s + self._silence_s + transfer_s,
        )
