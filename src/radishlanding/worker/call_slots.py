"""Bounds the calls of one kind that a worker has to answer."""

import math

import trio


class CallSlots:
    """Let calls through one after the other, as slots become free.

    A call without an answer keeps its slot for ``hold_s`` only, so that it
    delays the calls behind it by far less than its timeout. Together with it,
    at most ``max_calls`` are in flight.
    """

    __slots__ = (
        "_calls",
        "_hold_s",
        "_max_calls",
        "_max_repeats",
        "_released",
        "_repeats",
        "_slots",
        "_turn",
    )

    def __init__(self, *, slots, max_calls, hold_s):
        """Start with all slots free.

        :param slots: Number of calls that may be younger than ``hold_s``.
        :param max_calls: Number of calls that may be in flight.
        :param hold_s: How long a call without an answer keeps its slot, in
            seconds.
        """
        # Times at which the calls in flight began, the oldest one first.
        self._calls = {}
        self._hold_s = hold_s
        self._max_calls = max_calls
        # Leaves first tries room beside the repeats of unanswered ones.
        self._max_repeats = max_calls // 2
        self._released = trio.Event()
        self._repeats = set()
        self._slots = slots
        # Only the next call in turn watches for a free slot.
        self._turn = trio.Lock()

    async def acquire(self):
        """Wait for a slot.

        :returns: The call, to be passed to :meth:`release` when it has ended.
        """
        async with self._turn:
            while not self._has_room():
                with trio.move_on_at(self._next_expiry_s()):
                    await self._released.wait()
            return self._add()

    def acquire_for_repeat(self):
        """Take a slot for a repeat of a call that is in flight.

        :returns: The call, None if no slot is free or another call waits.
        """
        if (
            self._turn.locked()
            or not self._has_room()
            or len(self._repeats) >= self._max_repeats
        ):
            return None
        call = self._add()
        self._repeats.add(call)
        return call

    def _add(self):
        call = object()
        self._calls[call] = trio.current_time()
        return call

    def release(self, call):
        """Record that a call has ended."""
        del self._calls[call]
        self._repeats.discard(call)
        self._released.set()
        self._released = trio.Event()

    def _has_room(self):
        return (
            len(self._calls) < self._max_calls
            and len(self._holding()) < self._slots
        )

    def _holding(self):
        """Return when the calls began that keep a slot."""
        since_s = trio.current_time() - self._hold_s
        return [
            begun_s for begun_s in self._calls.values() if begun_s > since_s
        ]

    def _next_expiry_s(self):
        """Return when the oldest call that keeps a slot loses it."""
        holding = self._holding()
        return min(holding) + self._hold_s if holding else math.inf
