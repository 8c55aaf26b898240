"""When callers that were refused should come back."""

import math
import random

# Unit of Retry-After in HTTP, and the least that spreads returns at all.
MIN_RETRY_AFTER_S = 1
# Stores and leaders are back within some seconds; who waits longer than this
# would miss the moment.
MAX_RETRY_AFTER_S = 4


class OutageBackoff:
    """Follow one outage, and tell callers when to come back.

    An outage that has lasted for some time is expected to last about as
    long again. Of two whole seconds around that one is drawn, so that those
    who were refused at the same time do not return together.
    """

    __slots__ = ("_rng", "_since_s")

    def __init__(self, *, rng=None):
        """Start without an outage.

        :param rng: Source of random numbers.
        """
        self._rng = rng or random.Random()
        self._since_s = None

    def record_failure(self, now_s):
        """Note that a question got no answer.

        :param now_s: A steady clock, in seconds.
        """
        if self._since_s is None:
            self._since_s = now_s

    def record_success(self):
        """Note that the outage, if there was one, is over."""
        self._since_s = None

    def outage_s(self, now_s):
        """Return for how long questions have had no answer, in seconds."""
        return 0.0 if self._since_s is None else now_s - self._since_s

    def retry_after_s(self, now_s):
        """Return when to come back, in whole seconds from now."""
        expected_s = self.outage_s(now_s)
        drawn_s = math.floor(expected_s + self._rng.random())
        return max(MIN_RETRY_AFTER_S, min(MAX_RETRY_AFTER_S, drawn_s))
