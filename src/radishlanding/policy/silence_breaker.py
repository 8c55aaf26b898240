"""Decides whether a silent server may get further calls."""

import math

# Longer than an answer takes while the store is 60 times slower than usual.
MAX_SILENCE_S = 0.7


class SilenceBreaker:
    """Hold back calls from a server that answers nothing.

    A call that was sent and not answered may have taken effect, so that its
    caller cannot be told that it failed. Calls that are held back have had no
    effect and can be refused.

    A server is silent if a call is waiting and none was answered for
    ``MAX_SILENCE_S``. Once a call has timed out, one call at a time probes
    the server until one is answered.
    """

    __slots__ = ("_has_timed_out", "_quiet_since_s", "_server", "_waiting")

    def __init__(self):
        """Start without a server."""
        self._has_timed_out = False
        self._quiet_since_s = 0.0
        self._server = None
        self._waiting = 0

    def is_open(self, server, now_s):
        """Return whether a call to a server must be held back.

        :param server: Object that stands for the server; nothing that was
            recorded for another one counts.
        :param now_s: Monotonic time, in seconds.
        """
        if server is not self._server or not self._waiting:
            return False
        return (
            self._has_timed_out or now_s - self._quiet_since_s > MAX_SILENCE_S
        )

    def has_timed_out(self, server):
        """Return whether nothing was answered since a call timed out."""
        return server is self._server and self._has_timed_out

    def record_call(self, server, now_s):
        """Record that a call is sent."""
        if server is not self._server:
            self._server = server
            self._has_timed_out = False
            self._waiting = 0
        if not self._waiting:
            self._quiet_since_s = now_s
        self._waiting += 1

    def record_answer(self, server, now_s):
        """Record that a call was answered, even if by a refusal."""
        if server is self._server:
            self._has_timed_out = False
            self._quiet_since_s = now_s
            self._waiting -= 1

    def record_withdrawal(self, server):
        """Record that a call was not sent after all."""
        if server is self._server:
            self._waiting -= 1

    def record_timeout(self, server, *, sent_s=math.inf):
        """Record that a call was given up without an answer.

        :param sent_s: When it was sent, in seconds; a server that has
            answered another call since then is not silent.
        """
        if server is self._server:
            if self._quiet_since_s <= sent_s:
                self._has_timed_out = True
            self._waiting -= 1
