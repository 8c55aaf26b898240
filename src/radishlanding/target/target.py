"""An announced target and its load."""

import time

from radishlanding.http import HttpClient

# Weight of a new sample in the exponential moving average.
LATENCY_WEIGHT = 0.2


class Target:
    """A target's announcement, HTTP client and load."""

    __slots__ = (
        "announced_s",
        "announcement",
        "client",
        "latency_ms",
        "outstanding",
    )

    def __init__(self, announcement):
        """Start without requests in flight.

        :param announcement: An :class:`Announcement`.
        """
        self.announcement = announcement
        self.client = HttpClient(address=announcement.address)
        self.latency_ms = 0.0
        self.outstanding = 0
        self.announced_s = time.monotonic()

    @property
    def free_slots(self):
        """Return how many more requests the target accepts."""
        announcement = self.announcement
        if announcement.leaving:
            return 0
        return (
            min(announcement.slots, announcement.connections)
            - self.outstanding
        )

    def record_latency(self, took_ms):
        """Add a service time, in milliseconds, to the moving average."""
        weight = LATENCY_WEIGHT if self.latency_ms else 1.0
        self.latency_ms += weight * (took_ms - self.latency_ms)
