"""Logs the lost polls of a worker."""

from radishlanding.observe import EventLog

# Between lines about one worker that goes on losing polls.
LOG_INTERVAL_S = 1.0

_log = EventLog("radishlanding.vmagent")


class PollFailureLog:
    """Log the first lost poll after an answer at once, then one a second."""

    __slots__ = ("_logged_s", "_lost")

    def __init__(self):
        """Start without lost polls."""
        self._logged_s = 0.0
        self._lost = 0

    def record(self, vm, reason, *, answered_s, now_s):
        """Record a lost poll.

        :param vm: Identity of the VM.
        :param reason: Why the poll is taken for lost.
        :param answered_s: When the worker answered last, on the boot clock,
            in seconds.
        :param now_s: Current time on the boot clock, in seconds.
        """
        self._lost += 1
        is_first = self._logged_s <= answered_s
        if not is_first and now_s - self._logged_s < LOG_INTERVAL_S:
            return
        _log.info(
            "poll_failed",
            vm=vm,
            reason=reason,
            unanswered_ms=int((now_s - answered_s) * 1000),
            lost=self._lost,
        )
        self._logged_s, self._lost = now_s, 0
