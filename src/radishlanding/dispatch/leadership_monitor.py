"""Renews the proof of leadership and detects store outages."""

import trio

from radishlanding.observe import EventLog
from radishlanding.store import StoreUnavailable
from radishlanding.vm import boot_clock_s

# Half of the leader's grace would be enough for leases. This is shorter, so
# that answers about unknown workflows rarely need a call of their own.
CONFIRM_INTERVAL_S = 0.7
# After this long without an answer other processes are asked to lead, as they
# may still reach the store.
OUTAGE_S = 0.25
OUTAGE_CHECK_INTERVAL_S = 0.1
# While the store does not answer, confirmations are tried side by side at this
# interval: one that was sent during an outage takes its whole timeout.
RETRY_INTERVAL_S = 0.2
# One answer may be lost without an outage.
MIN_OUTAGE_FAILURES = 2

_log = EventLog("radishlanding.dispatch")


class LeadershipMonitor:
    """Confirm the leadership regularly; report an unreachable store."""

    __slots__ = ("_entry_log", "_on_store_unreachable")

    def __init__(self, *, entry_log, on_store_unreachable):
        """Initialise the monitor.

        :param entry_log: A claimed :class:`EntryLog`.
        :param on_store_unreachable: Coroutine function called repeatedly
            while the store does not answer.
        """
        self._entry_log = entry_log
        self._on_store_unreachable = on_store_unreachable

    @property
    def proof_age_s(self):
        """Return the age of the last proof of leadership, in seconds."""
        return boot_clock_s() - self._entry_log.confirmed_s

    @property
    def is_store_unreachable(self):
        """Return whether the store has stopped answering this process."""
        failing_s = boot_clock_s() - self._entry_log.failing_since_s
        return (
            self._entry_log.failures >= MIN_OUTAGE_FAILURES
            and failing_s > OUTAGE_S
        )

    async def run(self):
        """Monitor until cancelled.

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
        async with trio.open_nursery() as nursery:
            while True:
                if self._entry_log.failing_since_s > 0:
                    await trio.sleep(RETRY_INTERVAL_S)
                    nursery.start_soon(self._try_confirm)
                    continue
                await trio.sleep(CONFIRM_INTERVAL_S)
                if self.proof_age_s > CONFIRM_INTERVAL_S:
                    await self._try_confirm()

    async def _try_confirm(self):
        try:
            await self._entry_log.confirm()
        except StoreUnavailable as exc:
            _log.warning("confirm_unanswered", reason=exc)
