"""Start calls of ended attempts that may still be carried out."""

from radishlanding.vm import boot_clock_s

# Workers have carried out calls up to 12 s after they were sent.
MAX_LATENESS_S = 15.0


class LateStarts:
    """Remember attempts that have ended while a start call was unanswered.

    The boot of the worker that they ended on refuses such a call. The next
    boot does not know of the end, and would run the attempt.
    """

    __slots__ = ("_ended_s",)

    def __init__(self):
        """Start empty."""
        self._ended_s = {}

    def add(self, key):
        """Remember an attempt for as long as a call of it may arrive.

        :param key: Pair of task and attempt.
        """
        self._ended_s = {late: self._ended_s[late] for late in self.keys()}
        self._ended_s[key] = boot_clock_s()

    def keys(self):
        """Return the attempts of which a call may still arrive."""
        since_s = boot_clock_s() - MAX_LATENESS_S
        return [
            key for key, ended_s in self._ended_s.items() if ended_s > since_s
        ]
