"""Proves a leadership again and again, and tells when it cannot."""

import trio

from radishlanding.observe import EventLog
from radishlanding.store import StoreUnavailable
from radishlanding.vm import boot_clock_s

# Half of the time after which a VM's lease is not extended any more would do;
# this also keeps answers about unknown workflows cheap.
CONFIRM_INTERVAL_S = 0.7
# A store that has not answered for this long may still answer others.
OUTAGE_S = 0.25
OUTAGE_CHECK_INTERVAL_S = 0.1
# A single answer may be lost.
MIN_OUTAGE_FAILURES = 2

_log = EventLog("radishlanding.dispatch")


class LeadershipMonitor:
    """Ask the store whether this process still leads."""

    __slots__ = ("_entry_log", "_on_store_unreachable")

    def __init__(self, *, entry_log, on_store_unreachable):
        """Prepare.

        :param entry_log: A claimed :class:`EntryLog`.
        :param on_store_unreachable: Coroutine function that is called now and then while
            the store does not answer.
        """
        self._entry_log = entry_log
        self._on_store_unreachable = on_store_unreachable

    @property
    def proof_age_s(self):
        """Return the age of the last proof, in seconds."""
        return boot_clock_s() - self._entry_log.confirmed_s

    @property
    def is_store_unreachable(self):
        """Return whether the store has not answered for some time."""
        failing_s = boot_clock_s() - self._entry_log.failing_since_s
        return (
            self._entry_log.failures >= MIN_OUTAGE_FAILURES
            and failing_s > OUTAGE_S
        )

    async def run(self):
        """Prove it until cancelled.

        :raises Fenced: Another process leads now.
        """
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._confirm)
            await self._watch()

    async def _watch(self):
        while True:
            await trio.sleep(OUTAGE_CHECK_INTERVAL_S)
            if self.is_store_unreachable:
                _log.warning(
                    "leader_away",
                    epoch=self._entry_log.epoch,
                    proof_age_s=f"{self.proof_age_s:.2f}",
                )
                await self._on_store_unreachable()
                await trio.sleep(CONFIRM_INTERVAL_S)

    async def _confirm(self):
        while True:
            is_failing = self._entry_log.failing_since_s > 0
            await trio.sleep(
                OUTAGE_CHECK_INTERVAL_S if is_failing else CONFIRM_INTERVAL_S
            )
            if is_failing or self.proof_age_s > CONFIRM_INTERVAL_S:
                try:
                    await self._entry_log.confirm()
                except StoreUnavailable as exc:
                    _log.warning("confirm_unanswered", reason=exc)
