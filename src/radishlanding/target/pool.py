"""The pool of announced targets on a VM."""

import time

import trio

from radishlanding.message import TargetLoad
from radishlanding.observe import EventLog
from radishlanding.target.target import Target
from radishlanding.vm import Capacity

ANNOUNCEMENT_TTL_S = 4.0
SWEEP_INTERVAL_S = 0.5

_log = EventLog("radishlanding.target")


class TargetPool:
    """Track the targets on an agent's VM, their load and free slots."""

    __slots__ = ("_changed", "_ledger", "_targets", "is_closed")

    def __init__(self, *, ledger):
        """Start without targets.

        :param ledger: The :class:`radishlanding.vm.Ledger` in which the
            reserves of targets are allocated.
        """
        self._ledger = ledger
        self._targets = {}
        self._changed = trio.Event()
        self.is_closed = False

    def register(self, announcement):
        """Add a target, or update it and renew its lifetime.

        :param announcement: An :class:`Announcement`.
        :raises radishlanding.vm.InsufficientCapacity: The reserve does not
            fit.
        """
        self._ledger.allocate(
            holder=_holder(announcement.address), needs=announcement.reserve
        )
        target = self._targets.get(announcement.address)
        if target is None:
            self._targets[announcement.address] = Target(announcement)
            _log.info(
                "target_up",
                address=announcement.address,
                service=announcement.service,
            )
            self.notify()
            return
        if target.announcement != announcement:
            _log.info(
                "target_changed",
                address=announcement.address,
                leaving=announcement.leaving,
            )
            target.announcement = announcement
            self.notify()
        target.announced_s = time.monotonic()

    async def sweep(self):
        """Remove targets that stopped announcing themselves.

        A target with requests in flight is marked as leaving, and removed
        once they have ended.
        """
        while True:
            await trio.sleep(SWEEP_INTERVAL_S)
            expiry_s = time.monotonic() - ANNOUNCEMENT_TTL_S
            for address, target in list(self._targets.items()):
                if target.announced_s < expiry_s and not target.outstanding:
                    await self._remove(address)
                elif target.announced_s < expiry_s:
                    target.announcement.leaving = True

    async def _remove(self, address):
        target = self._targets.pop(address)
        self._ledger.release(holder=_holder(address))
        await target.client.close()
        _log.info("target_gone", address=address)
        self.notify()

    def reserved(self):
        """Return the capacity that is reserved for all targets."""
        total = Capacity()
        for target in self._targets.values():
            total = total + target.announcement.reserve
        return total

    def acquire_slot(self, service):
        """Acquire a slot of the target with the most free slots.

        :param service: Service that the target must serve.
        :returns: The :class:`Target`, or None if none has a free slot; the
            caller must call :meth:`release_slot`.
        """
        targets = [
            target
            for target in self._targets.values()
            if target.announcement.service == service and target.free_slots > 0
        ]
        target = max(
            targets, key=lambda target: target.free_slots, default=None
        )
        if target is not None:
            target.outstanding += 1
        return target

    def release_slot(self, target):
        """Release a slot of a target."""
        target.outstanding -= 1
        if target.free_slots == 1:
            self.notify()

    def loads(self):
        """Return a :class:`radishlanding.message.TargetLoad` per target."""
        return [
            TargetLoad(
                service=target.announcement.service,
                slots=target.announcement.slots,
                outstanding=target.outstanding,
                leaving=target.announcement.leaving or self.is_closed,
                latency_ms=target.latency_ms,
            )
            for target in self._targets.values()
        ]

    def outstanding(self):
        """Return the number of requests in flight to all targets."""
        return sum(target.outstanding for target in self._targets.values())

    def close(self):
        """Report all targets as leaving, so that no new requests arrive."""
        self.is_closed = True
        self.notify()

    def notify(self):
        """Wake the tasks in :meth:`wait_changed`."""
        self._changed.set()
        self._changed = trio.Event()

    async def wait_changed(self):
        """Wait until a target changes or a full one has a free slot again."""
        await self._changed.wait()


def _holder(address):
    return f"target {address}"
