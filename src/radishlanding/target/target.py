"""One announced target and its load."""

import time

from radishlanding.http import HttpClient

LATENCY_WEIGHT = 0.2


class Target:
    """Hold a target's announcement, its connections and its load."""

    __slots__ = (
        "announcement",
        "client",
        "latency_ms",
        "outstanding",
        "renewed_s",
    )

    def __init__(self, announcement):
        """Start without load.

        :param announcement: An :class:`Announcement`.
        """
        self.announcement = announcement
        self.client = HttpClient(address=announcement.address)
        self.latency_ms = 0.0
        self.outstanding = 0
        self.renewed_s = time.monotonic()

    @property
    def free_slots(self):
        """Return how many more requests it takes."""
        said = self.announcement
        if said.leaving:
            return 0
        return min(said.slots, said.connections) - self.outstanding

    def record_latency(self, took_ms):
        """Take a service time into the moving average."""
        weight = LATENCY_WEIGHT if self.latency_ms else 1.0
        self.latency_ms += weight * (took_ms - self.latency_ms)
