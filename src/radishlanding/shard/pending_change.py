"""A change that waits to be recorded."""

import trio


class PendingChange:
    """Hold a change and what became of it."""

    __slots__ = ("_event", "_exc", "_was_recorded", "change")

    def __init__(self, change):
        """Start undecided."""
        self.change = change
        self._event = trio.Event()
        self._exc = None
        self._was_recorded = False

    def finish(self, was_recorded):
        """Tell whether the change was recorded."""
        self._was_recorded = was_recorded
        self._event.set()

    def fail(self, exc):
        """Tell that it will never be known here."""
        self._exc = exc
        self._event.set()

    async def wait(self):
        """Return whether the change was recorded.

        :raises Fenced: It is not known.
        """
        await self._event.wait()
        if self._exc is not None:
            raise self._exc
        return self._was_recorded
