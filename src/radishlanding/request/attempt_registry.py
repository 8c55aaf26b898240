"""Registry of the attempts that an agent has seen or forbidden."""

import collections

from radishlanding.request.attempt import Attempt

IDEMPOTENT_RETENTION_MS = 15_000
RETENTION_MS = 600_000
MAX_STORED_BYTES = 4 * 1024 * 1024
MAX_ATTEMPTS = 10_000


class AttemptRegistry:
    """Keep attempts and their answers, bounded in time, number and bytes.

    The registry tracks since when it is complete: an attempt that is missing
    is known not to have run only if it was claimed after the newest evicted
    non-idempotent attempt began, and not before the registry started.
    """

    __slots__ = ("_attempts", "_evicted_until_ms", "_queues", "_stored_bytes")

    def __init__(self, *, started_ms):
        """Start empty.

        :param started_ms: Start of the registry on the agent's clock, in
            milliseconds; it is not complete for earlier claims.
        """
        self._attempts = {}
        self._evicted_until_ms = started_ms - 1
        self._stored_bytes = 0
        self._queues = {True: collections.deque(), False: collections.deque()}

    def find(self, key, attempt):
        """Return an :class:`Attempt`, or None if it is not kept.

        :param key: Identity of the request.
        :param attempt: Number of the attempt.
        """
        return self._attempts.get((key, attempt))

    def begin(self, key, attempt, *, is_idempotent, now_ms):
        """Add a new attempt, after evicting expired ones.

        :param key: Identity of the request.
        :param attempt: Number of the attempt.
        :param is_idempotent: Whether other attempts may run; these are kept
            for a shorter time.
        :param now_ms: Clock of the agent, in milliseconds.
        :returns: The :class:`Attempt`.
        """
        self._evict_expired(now_ms, is_idempotent=True)
        self._evict_expired(now_ms, is_idempotent=False)
        new = Attempt(
            key=key,
            attempt=attempt,
            is_idempotent=is_idempotent,
            started_ms=now_ms,
        )
        self._attempts[key, attempt] = new
        self._queues[is_idempotent].append(new)
        return new

    def finish(self, attempt, answer):
        """Store the answer of an attempt; discard old bodies beyond the limit.

        :param attempt: The :class:`Attempt`.
        :param answer: A :class:`radishlanding.message.RunAnswer`.
        """
        attempt.finish(answer)
        self._stored_bytes += attempt.size_bytes
        for other in self._attempts.values():
            if self._stored_bytes <= MAX_STORED_BYTES:
                break
            if other.size_bytes and other is not attempt:
                self._stored_bytes -= other.size_bytes
                other.discard_body()

    def is_complete_since(self, claimed_ms):
        """Return whether all attempts that are not idempotent are kept.

        Only those that were claimed at or after a time count.

        :param claimed_ms: Time of the claim on the agent's clock, in
            milliseconds.
        """
        return claimed_ms > self._evicted_until_ms

    def is_full(self):
        """Return whether no more attempts can be added."""
        return len(self._attempts) >= MAX_ATTEMPTS

    def _evict_expired(self, now_ms, *, is_idempotent):
        retention_ms = (
            IDEMPOTENT_RETENTION_MS if is_idempotent else RETENTION_MS
        )
        queue = self._queues[is_idempotent]
        while queue and queue[0].started_ms + retention_ms <= now_ms:
            if queue[0].answer is None:
                return
            expired = queue.popleft()
            del self._attempts[expired.key, expired.attempt]
            self._stored_bytes -= expired.size_bytes
            if not is_idempotent:
                self._evicted_until_ms = expired.started_ms
