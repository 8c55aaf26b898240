"""Reservation of memory by one connection."""


class Reservation:
    """Hold bytes of a pool until they are released.

    :param size_bytes: Bytes that are held.
    """

    __slots__ = ("_pool", "size_bytes")

    def __init__(self, *, pool):
        """Start with no bytes.

        :param pool: A :class:`radishlanding.http.MemoryPool`, or None where
            memory is not bounded.
        """
        self._pool = pool
        self.size_bytes = 0

    @property
    def is_contended(self):
        """Return whether others wait for memory of the pool."""
        return self._pool is not None and self._pool.is_short

    async def grow(self, size_bytes, *, is_preferred, timeout_s):
        """Hold at least a number of bytes.

        :param size_bytes: Bytes to hold in all.
        :param is_preferred: See :class:`radishlanding.http.MemoryPool`.
        :param timeout_s: Longest time to wait for them, in seconds.
        :raises MemoryExhausted: They were not free in time; what was held
            before still is.
        """
        added = size_bytes - self.size_bytes
        if self._pool is None or added <= 0:
            return
        await self._pool.reserve(
            added, is_preferred=is_preferred, timeout_s=timeout_s
        )
        self.size_bytes = size_bytes

    def release(self):
        """Return all bytes that are held."""
        if self.size_bytes:
            size_bytes, self.size_bytes = self.size_bytes, 0
            self._pool.release(size_bytes)
