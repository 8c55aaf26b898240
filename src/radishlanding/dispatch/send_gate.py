"""Lets calls through as the link has room for them."""

import contextlib

import trio

from radishlanding.policy import MAX_IN_FLIGHT_S
from radishlanding.vm import boot_clock_s


class SendGate:
    """Let calls through one after the other, within a window."""

    __slots__ = ("_answered", "_turn", "_window")

    def __init__(self, *, window):
        """Open the gate.

        :param window: A :class:`radishlanding.policy.SendWindow`.
        """
        self._answered = trio.Event()
        self._turn = trio.Lock()
        self._window = window

    @property
    def room_bytes(self):
        """Return how many more bytes may be queued now."""
        return self._window.room_bytes(boot_clock_s())

    def queue(self, size_bytes):
        """Record that a call of this size will pass."""
        self._window.queue(size_bytes)

    @contextlib.asynccontextmanager
    async def passing(self, size_bytes):
        """Wait until a queued call may be sent; it has its answer on exit.

        :param size_bytes: The size that was queued.
        """
        call = object()
        await self._wait_room(call, size_bytes)
        try:
            yield
        finally:
            self._window.record_answer(call)
            self._answered.set()
            self._answered = trio.Event()

    async def _wait_room(self, call, size_bytes):
        async with self._turn:
            while not self._window.may_send(size_bytes, boot_clock_s()):
                with trio.move_on_after(MAX_IN_FLIGHT_S):
                    await self._answered.wait()
            self._window.record_sent(call, size_bytes, boot_clock_s())
