"""A permit for starts of the platform's runner."""

from radishlanding.worker import StartTerms

DEADLINE_MS = 9000


class OpenPermit:
    """Permit a start at any time."""

    __slots__ = ("_fence",)

    is_repeat = False

    def __init__(self, *, fence=7):
        """Permit starts with a fencing token."""
        self._fence = fence

    def wait_s(self):
        """Return a time that no scenario takes."""
        return 60.0

    def is_valid(self):
        """Return that the start may be sent."""
        return True

    def take(self):
        """Return the terms of every start."""
        return StartTerms(fence=self._fence, deadline_ms=DEADLINE_MS)
