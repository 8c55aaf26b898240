"""A value that a task can wait for."""

import trio


class Future:
    """A value that is set once and awaited by one or more tasks."""

    __slots__ = ("_event", "_value")

    def __init__(self):
        """Start without a value."""
        self._event = trio.Event()
        self._value = None

    def set(self, value):
        """Set the value and wake the waiting tasks."""
        self._value = value
        self._event.set()

    async def wait(self):
        """Wait until the value is set and return it."""
        await self._event.wait()
        return self._value
