"""One attempt of a request at an agent."""

import trio

from radishlanding.request.outcome import Outcome


class Attempt:
    """An attempt and its answer, once there is one."""

    __slots__ = (
        "_event",
        "answer",
        "attempt",
        "is_idempotent",
        "key",
        "started_ms",
    )

    def __init__(self, *, key, attempt, is_idempotent, started_ms):
        """Start without an answer.

        :param key: Identity of the request.
        :param attempt: Number of the attempt.
        :param is_idempotent: Whether other attempts may run.
        :param started_ms: Start on the clock of the agent, in milliseconds.
        """
        self._event = trio.Event()
        self.key = key
        self.attempt = attempt
        self.is_idempotent = is_idempotent
        self.started_ms = started_ms
        self.answer = None

    def finish(self, answer):
        """Set the answer and wake the tasks in :meth:`wait`."""
        self.answer = answer
        self._event.set()

    @property
    def size_bytes(self):
        """Return the size of the answer's body, in bytes."""
        return len(self.answer.body) if self.answer else 0

    def discard_body(self):
        """Discard the body of a completed answer, which becomes UNKNOWN.

        The attempt itself stays known, so it does not run again.
        """
        if self.answer.outcome == Outcome.DONE:
            self.answer.outcome = Outcome.UNKNOWN
            self.answer.reason = "the attempt ran, but its answer was evicted"
            self.answer.status = 0
            self.answer.body = b""

    async def wait(self):
        """Wait for the answer and return it."""
        await self._event.wait()
        return self.answer
