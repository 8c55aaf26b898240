"""A change that waits for its commit."""

import trio


class PendingChange:
    """A change and the outcome of its commit."""

    __slots__ = ("_event", "_exc", "_was_recorded", "change")

    def __init__(self, change):
        """Create a change without an outcome.

        :param change: A :class:`Change`.
        """
        self.change = change
        self._event = trio.Event()
        self._exc = None
        self._was_recorded = False

    def resolve(self, was_recorded):
        """Set whether the change was recorded."""
        self._was_recorded = was_recorded
        self._event.set()

    def fail(self, exc):
        """Set the error for an outcome that this process cannot know.

        :param exc: The exception that :meth:`wait` raises.
        """
        self._exc = exc
        self._event.set()

    async def wait(self):
        """Wait for the outcome and return whether it was recorded.

        :raises Fenced: The outcome is unknown; the shard has another owner.
        """
        await self._event.wait()
        if self._exc is not None:
            raise self._exc
        return self._was_recorded
