"""Counts answered and missed requests by minute."""

import collections
import time

BUCKET_S = 60
HISTORY_BUCKETS = 360


class BurnHistory:
    """Hold the counts of the last six hours in memory.

    The VMs have no disks, so that the history begins with the process.
    """

    __slots__ = ("_buckets",)

    def __init__(self):
        """Start with no history."""
        self._buckets = collections.OrderedDict()

    def record(self, organisation, template, *, is_good):
        """Count one request."""
        now = int(time.time() // BUCKET_S)
        bucket = self._buckets.setdefault(now, {})
        counts = bucket.setdefault((organisation, template), [0, 0])
        counts[0] += 1
        counts[1] += not is_good
        while len(self._buckets) > HISTORY_BUCKETS:
            self._buckets.popitem(last=False)

    def dump(self):
        """Return rows of minute, organisation, template, requests, missed."""
        return [
            [minute, organisation, template, requests, missed]
            for minute, bucket in self._buckets.items()
            for (organisation, template), (requests, missed) in bucket.items()
        ]
