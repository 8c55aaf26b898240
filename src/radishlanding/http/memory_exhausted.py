"""The error of a reservation for which there is no memory."""


class MemoryExhausted(Exception):
    """No memory became free in time for a reservation."""

    __slots__ = ()
