"""The attempts that an agent has seen or forbidden."""

import collections

from radishlanding.request.attempt import Attempt

IDEMPOTENT_RETENTION_MS = 15_000
RETENTION_MS = 600_000
MAX_KEPT_BYTES = 4 * 1024 * 1024
MAX_ATTEMPTS = 10_000


class AttemptRegistry:
    """Remember attempts for a bounded time and number of bytes.

    The book knows from which time on it has forgotten nothing, so that it
    never vouches for an attempt that it may have forgotten.
    """

    __slots__ = ("_attempts", "_forgotten_ms", "_kept_bytes", "_orders")

    def __init__(self, *, started_ms):
        """Start empty.

        :param started_ms: Clock of the agent; nothing is vouched for that
            was claimed before.
        """
        self._attempts = {}
        self._forgotten_ms = started_ms - 1
        self._kept_bytes = 0
        self._orders = {True: collections.deque(), False: collections.deque()}

    def find(self, key, attempt):
        """Return an attempt, or None if it is not remembered."""
        return self._attempts.get((key, attempt))

    def begin(self, key, attempt, *, is_idempotent, now_ms):
        """Remember a new attempt and return it."""
        self._forget(now_ms, is_idempotent=True)
        self._forget(now_ms, is_idempotent=False)
        entry = Attempt(
            key=key,
            attempt=attempt,
            is_idempotent=is_idempotent,
            began_ms=now_ms,
        )
        self._attempts[key, attempt] = entry
        self._orders[is_idempotent].append(entry)
        return entry

    def finish(self, entry, answer):
        """Keep the answer of an attempt."""
        entry.finish(answer)
        self._kept_bytes += entry.size
        for old in self._attempts.values():
            if self._kept_bytes <= MAX_KEPT_BYTES:
                break
            if old.size and old is not entry:
                self._kept_bytes -= old.size
                old.drop_body()

    def is_complete_since(self, claimed_ms):
        """Return whether nothing claimed since then was forgotten."""
        return claimed_ms > self._forgotten_ms

    def is_full(self):
        """Return whether no more attempts can be remembered."""
        return len(self._attempts) >= MAX_ATTEMPTS

    def _forget(self, now_ms, *, is_idempotent):
        kept_ms = IDEMPOTENT_RETENTION_MS if is_idempotent else RETENTION_MS
        order = self._orders[is_idempotent]
        while order and order[0].began_ms + kept_ms <= now_ms:
            if order[0].answer is None:
                return
            entry = order.popleft()
            del self._attempts[entry.key, entry.attempt]
            self._kept_bytes -= entry.size
            if not is_idempotent:
                self._forgotten_ms = entry.began_ms
