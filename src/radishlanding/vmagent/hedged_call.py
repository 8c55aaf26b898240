"""A call that is tried again beside its unanswered tries."""

import trio

# A worker that answers does so within milliseconds.
RETRY_INTERVAL_S = 0.25
# After the last try in flight has failed or was refused.
RETRY_DELAY_S = 0.1
MAX_TRIES_IN_FLIGHT = 4


class HedgedCall:
    """Keep a few tries of an idempotent call in flight.

    Tries are not cancelled once another one is answered: their own answers
    tell that they will not be carried out later.
    """

    __slots__ = ("_due_s", "_ended", "_nursery", "_send", "in_flight")

    def __init__(self, *, nursery, send):
        """Start without tries.

        :param nursery: Nursery that tries run in.
        :param send: Coroutine function that makes a try. It takes whether
            another try is in flight.
        """
        self._due_s = trio.current_time()
        self._ended = trio.Event()
        self._nursery = nursery
        self._send = send
        self.in_flight = 0

    def is_due(self):
        """Return whether it is time for another try."""
        return (
            self.in_flight < MAX_TRIES_IN_FLIGHT
            and trio.current_time() >= self._due_s
        )

    def begin_try(self):
        """Make a try in the background."""
        self._due_s = trio.current_time() + RETRY_INTERVAL_S
        self._nursery.start_soon(self._try, self.in_flight > 0)
        self.in_flight += 1

    async def _try(self, is_repeat):
        try:
            await self._send(is_repeat)
        finally:
            self.in_flight -= 1
            if not self.in_flight:
                self._due_s = trio.current_time() + RETRY_DELAY_S
            self._ended.set()
            self._ended = trio.Event()

    async def wait(self):
        """Wait until a try has ended, or another one may be due."""
        delay_s = self._due_s - trio.current_time()
        with trio.move_on_after(delay_s if delay_s > 0 else RETRY_DELAY_S):
            await self._ended.wait()
