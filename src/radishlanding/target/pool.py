"""The targets that have announced themselves."""

import time

import trio

from radishlanding.message import TargetLoad
from radishlanding.observe import EventLog
from radishlanding.target.target import Target
from radishlanding.vm import Capacity

GONE_AFTER_S = 4.0
SWEEP_PAUSE_S = 0.5

_log = EventLog("radishlanding.target")


class TargetPool:
    """Hold the targets beside an agent."""

    __slots__ = ("_changed", "_ledger", "_targets", "is_closed")

    def __init__(self, *, ledger):
        """Start without targets.

        :param ledger: Ledger of the VM, from which targets keep room.
        """
        self._ledger = ledger
        self._targets = {}
        self._changed = trio.Event()
        self.is_closed = False

    def register(self, said):
        """Take in an announcement.

        :param said: An :class:`Announcement`.
        :raises radishlanding.vm.NoRoom: The VM cannot keep its reserve.
        """
        self._ledger.allocate(holder=_holder(said.address), needs=said.reserve)
        target = self._targets.get(said.address)
        if target is None:
            self._targets[said.address] = Target(said)
            _log.info("target_up", address=said.address, service=said.service)
            self.notify()
            return
        if target.announcement != said:
            _log.info(
                "target_changed", address=said.address, leaving=said.leaving
            )
            target.announcement = said
            self.notify()
        target.renewed_s = time.monotonic()

    async def sweep(self):
        """Remove the targets that no longer announce themselves."""
        while True:
            await trio.sleep(SWEEP_PAUSE_S)
            oldest_s = time.monotonic() - GONE_AFTER_S
            for address, target in list(self._targets.items()):
                if target.renewed_s < oldest_s and not target.outstanding:
                    await self._remove(address)
                elif target.renewed_s < oldest_s:
                    target.announcement.leaving = True

    async def _remove(self, address):
        target = self._targets.pop(address)
        self._ledger.release(holder=_holder(address))
        await target.client.close()
        _log.info("target_gone", address=address)
        self.notify()

    def reserved(self):
        """Return what all targets keep for themselves."""
        total = Capacity()
        for target in self._targets.values():
            total = total + target.announcement.reserve
        return total

    def acquire_slot(self, service):
        """Take a slot of the target with the most room.

        :param service: Service that is wanted.
        :returns: The target, or None if none has a slot;
            :meth:`release_slot` ends it.
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
        """Give a slot of a target back."""
        target.outstanding -= 1
        if target.free_slots == 1:
            self.notify()

    def loads(self):
        """Return the load of each target."""
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
        """Return the number of requests in flight."""
        return sum(target.outstanding for target in self._targets.values())

    def close(self):
        """Take no new requests."""
        self.is_closed = True
        self.notify()

    def notify(self):
        """Wake who waits for a change."""
        self._changed.set()
        self._changed = trio.Event()

    async def wait_changed(self):
        """Wait until the targets have changed."""
        await self._changed.wait()


def _holder(address):
    return f"target {address}"
