"""Memory that the connections of a process share."""

import collections

import trio

from radishlanding.http.memory_exhausted import MemoryExhausted

# Share of a pool that only preferred reservations may use, so that large
# bodies and strangers never keep small requests and known peers out.
PREFERRED_SHARE = 0.25


class MemoryPool:
    """Grant reservations of a bounded number of bytes.

    Where bytes are short, preferred reservations are granted first, and each
    kind in the order of arrival.
    """

    __slots__ = ("_limits", "_waiting", "used_bytes")

    def __init__(self, *, limit_bytes):
        """Create a pool without reservations.

        :param limit_bytes: Bytes that may be reserved at the same time.
        """
        others = int(limit_bytes * (1 - PREFERRED_SHARE))
        # By whether a reservation is preferred.
        self._limits = {True: int(limit_bytes), False: others}
        self._waiting = {
            True: collections.OrderedDict(),
            False: collections.OrderedDict(),
        }
        self.used_bytes = 0

    @property
    def is_short(self):
        """Return whether any reservation is waiting."""
        return any(self._waiting.values())

    @property
    def largest_bytes(self):
        """Return the largest reservation of any kind that can be granted."""
        return self._limits[False]

    def try_reserve(self, size_bytes, *, is_preferred):
        """Reserve bytes if they are free now; return whether they were.

        :param size_bytes: Number of bytes.
        :param is_preferred: Whether the reservation may use the share that
            is kept for preferred ones.
        """
        if self._waiting[True] or (not is_preferred and self.is_short):
            return False
        return self._take(size_bytes, is_preferred)

    def _take(self, size_bytes, is_preferred):
        if self.used_bytes + size_bytes > self._limits[is_preferred]:
            return False
        self.used_bytes += size_bytes
        return True

    async def reserve(self, size_bytes, *, is_preferred, timeout_s):
        """Reserve bytes, and wait for them if necessary.

        :param size_bytes: Number of bytes.
        :param is_preferred: See :meth:`try_reserve`.
        :param timeout_s: Longest time to wait, in seconds.
        :raises MemoryExhausted: The bytes were not free in time.
        """
        if self.try_reserve(size_bytes, is_preferred=is_preferred):
            return
        waiting = self._waiting[is_preferred]
        if size_bytes > self._limits[is_preferred]:
            raise MemoryExhausted
        granted = trio.Event()
        waiting[granted] = size_bytes
        try:
            with trio.move_on_after(timeout_s):
                await granted.wait()
        except trio.Cancelled:
            # The reservation may have been granted before.
            if waiting.pop(granted, None) is None:
                self.release(size_bytes)
            else:
                self._grant()
            raise
        if waiting.pop(granted, None) is not None:
            self._grant()
            raise MemoryExhausted

    def release(self, size_bytes):
        """Return reserved bytes."""
        self.used_bytes -= size_bytes
        self._grant()

    def _grant(self):
        for is_preferred in (True, False):
            waiting = self._waiting[is_preferred]
            while waiting:
                granted, size_bytes = next(iter(waiting.items()))
                if not self._take(size_bytes, is_preferred):
                    return
                del waiting[granted]
                granted.set()
