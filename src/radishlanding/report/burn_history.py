"""Counts requests and missed objectives by minute."""

import collections
import time

BUCKET_S = 60
HISTORY_BUCKETS = 360


class BurnHistory:
    """Request counts of the last six hours, in memory.

    The VMs have no disks, so the history starts with the process.
    """

    __slots__ = ("_buckets",)

    def __init__(self):
        """Start with an empty history."""
        self._buckets = collections.OrderedDict()

    def record(self, organisation, template, *, is_good):
        """Count a request.

        :param organisation: Name of the organisation.
        :param template: Name of the template.
        :param is_good: Whether it succeeded by its deadline.
        """
        minute = int(time.time() // BUCKET_S)
        bucket = self._buckets.setdefault(minute, {})
        counts = bucket.setdefault((organisation, template), [0, 0])
        counts[0] += 1
        counts[1] += not is_good
        while len(self._buckets) > HISTORY_BUCKETS:
            self._buckets.popitem(last=False)

    def dump(self):
        """Return lists of minute, organisation, template, requests, missed."""
        return [
            [minute, organisation, template, requests, missed]
            for minute, bucket in self._buckets.items()
            for (organisation, template), (requests, missed) in bucket.items()
        ]
