"""Computes when refused callers should retry."""

import math
import random

# Retry-After counts whole seconds; with 0 all callers would retry at once.
MIN_RETRY_AFTER_S = 1
# Stores and leaders recover within some seconds; longer delays would miss
# the recovery.
MAX_RETRY_AFTER_S = 4


class OutageBackoff:
    """Track one outage, and derive retry delays from its length.

    An outage is expected to last about as long again as it has lasted so
    far. The delay is rounded up or down at random, so that callers that were
    refused together do not retry together.
    """

    __slots__ = ("_rng", "_since_s")

    def __init__(self, *, rng=None):
        """Start without an outage.

        :param rng: A :class:`random.Random`, None for a new one.
        """
        self._rng = rng or random.Random()
        self._since_s = None

    def record_failure(self, now_s):
        """Record that a call got no answer; this may start an outage.

        :param now_s: Monotonic time, in seconds.
        """
        if self._since_s is None:
            self._since_s = now_s

    def record_success(self):
        """Record that a call was answered; this ends the outage."""
        self._since_s = None

    def outage_s(self, now_s):
        """Return how long the outage has lasted, in seconds.

        :param now_s: Monotonic time, in seconds.
        """
        return 0.0 if self._since_s is None else now_s - self._since_s

    def retry_after_s(self, now_s):
        """Return the delay before a retry, in whole seconds.

        :param now_s: Monotonic time, in seconds.
        """
        expected_s = self.outage_s(now_s)
        rounded_s = math.floor(expected_s + self._rng.random())
        return max(MIN_RETRY_AFTER_S, min(MAX_RETRY_AFTER_S, rounded_s))
