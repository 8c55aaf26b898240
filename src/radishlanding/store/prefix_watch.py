"""Follows all keys of a prefix."""

import trio

from radishlanding.observe import EventLog
from radishlanding.store.history_compacted import HistoryCompacted
from radishlanding.store.unavailable import StoreUnavailable
from radishlanding.vm import boot_clock_s

# A waiting watch may sit on a connection that has gone silent; a short wait
# bounds for how long, well within the 2 s in which changes must be in force
# plus the time that the platform allows for such a connection.
WAIT_S = 2.0
MIN_RETRY_S = 0.05
MAX_RETRY_S = 0.4

_log = EventLog("radishlanding.store")


class PrefixWatch:
    """Hold the keys of a prefix as the store last told them."""

    __slots__ = (
        "_changed",
        "_prefix",
        "_retry_s",
        "_revision",
        "_store",
        "is_lost",
        "items",
        "synced_s",
    )

    def __init__(self, *, store, prefix):
        """Start without keys; :meth:`run` follows them.

        :param store: A :class:`TransactionalStore`.
        :param prefix: Prefix of the keys.
        """
        self._changed = trio.Event()
        self._prefix = prefix
        self._retry_s = MIN_RETRY_S
        self._revision = 0
        self._store = store
        self.is_lost = True
        self.items = {}
        self.synced_s = 0.0

    @property
    def has_synced(self):
        """Return whether the keys were ever read."""
        return self.synced_s > 0

    async def wait_changed(self):
        """Wait until a key has changed, or the keys were first read."""
        await self._changed.wait()

    async def run(self):
        """Follow the keys until cancelled."""
        while True:
            try:
                await self._read()
                while True:
                    await self._follow()
            except HistoryCompacted as exc:
                _log.info("watch_history_gone", prefix=self._prefix, at=exc)
                self._revision = 0
            except StoreUnavailable as exc:
                self._lose(exc)
                await trio.sleep(self._retry_s)
                self._retry_s = min(MAX_RETRY_S, self._retry_s * 2)

    def _lose(self, exc):
        if not self.is_lost:
            _log.warning("watch_lost", prefix=self._prefix, reason=exc)
        self.is_lost = True

    def _regain(self, sent_s):
        if self.is_lost:
            _log.info(
                "watch_regained",
                prefix=self._prefix,
                revision=self._revision,
                age_s=f"{sent_s - self.synced_s:.2f}",
            )
        self.is_lost = False
        self.synced_s = sent_s
        self._retry_s = MIN_RETRY_S

    async def _read(self):
        """Read all keys, unless the revision to go on from is known."""
        if self._revision:
            return
        sent_s = boot_clock_s()
        listing = await self._store.list(self._prefix)
        was_read = self.has_synced
        items = {item.key: item for item in listing.items}
        is_new = items != self.items
        self.items = items
        self._revision = listing.revision
        self._regain(sent_s)
        if is_new or not was_read:
            self._notify()

    async def _follow(self):
        sent_s = boot_clock_s()
        changes = await self._store.watch(
            self._prefix, after=self._revision, wait_s=WAIT_S
        )
        self._revision = max(self._revision, changes.revision)
        for item in changes.written:
            self.items[item.key] = item
        for key in changes.deleted:
            self.items.pop(key, None)
        self._regain(sent_s)
        if changes.written or changes.deleted:
            self._notify()

    def _notify(self):
        self._changed.set()
        self._changed = trio.Event()
