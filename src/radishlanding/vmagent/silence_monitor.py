"""Notices when a worker stops answering."""

# A worker that fails one poll or two in a row still takes tasks.
MIN_SILENCE_S = 0.3


class SilenceMonitor:
    """Follow whether a worker answers the polls of its agent.

    :ivar answered_s: When it answered last, on the boot clock, in seconds.
    :ivar is_responsive: Whether it has answered the last poll.
    :ivar is_silent: Whether it has answered none for ``MIN_SILENCE_S``, so
        that no task can be started on it.
    """

    __slots__ = ("_since_s", "answered_s", "is_responsive", "is_silent")

    def __init__(self, *, now_s):
        """Start with a worker that answers.

        :param now_s: Current time on the boot clock, in seconds.
        """
        self._since_s = 0.0
        self.answered_s = now_s
        self.is_responsive = True
        self.is_silent = False

    def record_answer(self, now_s):
        """Record that the worker answers.

        :param now_s: Current time on the boot clock, in seconds.
        :returns: Whether it was silent before.
        """
        was_silent = self.is_silent
        self.answered_s = now_s
        self.is_responsive = True
        self.is_silent = False
        return was_silent

    def record_failure(self, now_s):
        """Record a poll without an answer.

        :param now_s: Current time on the boot clock, in seconds.
        :returns: Whether the worker has become silent.
        """
        was_silent = self.is_silent
        if self.is_responsive:
            self.is_responsive = False
            self._since_s = now_s
        self.is_silent = now_s - self._since_s >= MIN_SILENCE_S
        return self.is_silent and not was_silent
