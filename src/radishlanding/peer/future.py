"""The reply to a call, once it is there."""

import trio


class Future:
    """Wait for one value."""

    __slots__ = ("_event", "_value")

    def __init__(self):
        """Start without a value."""
        self._event = trio.Event()
        self._value = None

    def set(self, value):
        """Set the value and wake who waits."""
        self._value = value
        self._event.set()

    async def wait(self):
        """Return the value once it is set."""
        await self._event.wait()
        return self._value
