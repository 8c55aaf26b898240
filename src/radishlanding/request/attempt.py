"""One attempt of a request at an agent."""

import trio

from radishlanding.request.outcome import Outcome


class Attempt:
    """Hold an attempt and its answer, once there is one."""

    __slots__ = (
        "_event",
        "answer",
        "attempt",
        "began_ms",
        "is_idempotent",
        "key",
    )

    def __init__(self, *, key, attempt, is_idempotent, began_ms):
        """Start without an answer.

        :param key: Identity of the request.
        :param attempt: Number of the attempt.
        :param is_idempotent: Whether other attempts may run.
        :param began_ms: Clock of the agent, in milliseconds.
        """
        self._event = trio.Event()
        self.key = key
        self.attempt = attempt
        self.is_idempotent = is_idempotent
        self.began_ms = began_ms
        self.answer = None

    def finish(self, answer):
        """Set the answer and wake who waits."""
        self.answer = answer
        self._event.set()

    @property
    def size(self):
        """Return the bytes that the answer keeps."""
        return len(self.answer.body) if self.answer else 0

    def drop_body(self):
        """Forget the answer's body, but not that there was one."""
        if self.answer.outcome == Outcome.DONE:
            self.answer.outcome = Outcome.UNKNOWN
            self.answer.reason = "it ran; its answer is no longer kept"
            self.answer.status = 0
            self.answer.body = b""

    async def wait(self):
        """Return the answer once there is one."""
        await self._event.wait()
        return self.answer
