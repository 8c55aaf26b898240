"""Watches all keys of a prefix."""

import trio

from radishlanding.observe import EventLog
from radishlanding.store.history_compacted import HistoryCompacted
from radishlanding.store.unavailable import StoreUnavailable
from radishlanding.vm import boot_clock_s

# A watch may wait on a connection that has silently failed. The timeout bounds
# that wait: changes must be in force within 2 s, plus the time that the
# platform allows for such a connection.
WATCH_TIMEOUT_S = 2.0
MIN_RETRY_DELAY_S = 0.05
MAX_RETRY_DELAY_S = 0.4

_log = EventLog("radishlanding.store")


class PrefixWatch:
    """A local copy of the keys of a prefix, kept in sync with the store.

    ``synced_s`` is when the last successful call was sent, and ``regained_s``
    when the store answered again after it had not, both in seconds on the
    boot clock.
    """

    __slots__ = (
        "_changed",
        "_prefix",
        "_retry_delay_s",
        "_revision",
        "_store",
        "is_lost",
        "items",
        "regained_s",
        "synced_s",
    )

    def __init__(self, *, store, prefix):
        """Start without keys; :meth:`run` reads and follows them.

        :param store: A :class:`TransactionalStore`.
        :param prefix: Prefix of the keys.
        """
        self._changed = trio.Event()
        self._prefix = prefix
        self._retry_delay_s = MIN_RETRY_DELAY_S
        self._revision = 0
        self._store = store
        self.is_lost = True
        self.items = {}
        self.regained_s = 0.0
        self.synced_s = 0.0

    @property
    def has_synced(self):
        """Return whether the keys were read at least once."""
        return self.synced_s > 0

    async def wait_changed(self):
        """Wait until a key changes, or the keys are first read."""
        await self._changed.wait()

    async def run(self):
        """Follow the keys until cancelled."""
        while True:
            try:
                await self._list()
                while True:
                    await self._watch()
            except HistoryCompacted as exc:
                _log.info(
                    "watch_history_compacted", prefix=self._prefix, at=exc
                )
                self._revision = 0
            except StoreUnavailable as exc:
                self._mark_lost(exc)
                await trio.sleep(self._retry_delay_s)
                self._retry_delay_s = min(
                    MAX_RETRY_DELAY_S, self._retry_delay_s * 2
                )

    def _mark_lost(self, exc):
        if not self.is_lost:
            _log.warning("watch_lost", prefix=self._prefix, reason=exc)
        self.is_lost = True

    def _mark_synced(self, sent_s):
        if self.is_lost:
            _log.info(
                "watch_regained",
                prefix=self._prefix,
                revision=self._revision,
                age_s=f"{sent_s - self.synced_s:.2f}",
            )
            self.regained_s = boot_clock_s()
        self.is_lost = False
        self.synced_s = sent_s
        self._retry_delay_s = MIN_RETRY_DELAY_S

    async def _list(self):
        """Read all keys, unless the watch can resume from a revision."""
        if self._revision:
            return
        sent_s = boot_clock_s()
        listing = await self._store.list(self._prefix)
        had_synced = self.has_synced
        items = {item.key: item for item in listing.items}
        has_changed = items != self.items
        self.items = items
        self._revision = listing.revision
        self._mark_synced(sent_s)
        if has_changed or not had_synced:
            self._notify()

    async def _watch(self):
        sent_s = boot_clock_s()
        changes = await self._store.watch(
            self._prefix, after=self._revision, wait_s=WATCH_TIMEOUT_S
        )
        self._revision = max(self._revision, changes.revision)
        for item in changes.written:
            self.items[item.key] = item
        for key in changes.deleted:
            self.items.pop(key, None)
        self._mark_synced(sent_s)
        if changes.written or changes.deleted:
            self._notify()

    def _notify(self):
        self._changed.set()
        self._changed = trio.Event()
