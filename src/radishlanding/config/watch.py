"""Watches the configuration in the store."""

import random

import trio

from radishlanding.config.document import Document
from radishlanding.observe import EventLog
from radishlanding.store import pack
from radishlanding.store import RecordReader
from radishlanding.store import StoreUnavailable

DOCUMENT_KEY = "config/document"
POLL_INTERVAL_S = 1.0

_log = EventLog("radishlanding.config")


class ConfigWatch:
    """The newest configuration document that this process knows.

    A lower revision never replaces a higher one. If the store was rolled
    back to older content, the newest known document is written again. A
    corrupt one is left in place, as a newer program may have written it; an
    operator replaces it with the next revision of the document in force.
    """

    __slots__ = ("_changed", "_reader", "_store", "_version", "document")

    def __init__(self, *, store, counters):
        """Start with an empty document of revision 0.

        :param store: A :class:`radishlanding.store.Store`.
        :param counters: The process's :class:`radishlanding.observe.Counters`.
        """
        self._reader = RecordReader(Document, counters=counters)
        self._store = store
        self._version = 0
        self._changed = trio.Event()
        self.document = Document()

    async def run(self):
        """Poll the configuration until cancelled."""
        while True:
            try:
                await self.refresh()
            except StoreUnavailable as exc:
                _log.debug("config_unread", reason=exc)
            await trio.sleep(POLL_INTERVAL_S * random.uniform(0.8, 1.0))

    async def refresh(self):
        """Read the configuration and return the revision in force.

        :raises StoreUnavailable: The store gave no answer.
        """
        stored = await self._read()
        if stored is None:
            return self.document.revision
        if stored.revision > self.document.revision:
            self._adopt(stored)
        elif stored.revision < self.document.revision:
            await self._restore(stored.revision)
        return self.document.revision

    async def _read(self):
        """Return the stored document, None if it is corrupt."""
        kv = await self._store.get(DOCUMENT_KEY)
        self._version = kv.version if kv else 0
        return self._reader.read(kv) if kv else Document()

    async def _restore(self, stored_revision):
        _log.error(
            "config_went_back",
            stored=stored_revision,
            in_force=self.document.revision,
        )
        await self._store.swap(
            DOCUMENT_KEY, pack(self.document), version=self._version
        )
        await self._read()

    async def replace(self, document, *, expected):
        """Write the next revision by compare-and-swap.

        :param document: The new document; this method sets its revision.
        :param expected: Revision on which the new document is based.
        :returns: Whether it was accepted; False if another revision is in
            force.
        :raises StoreUnavailable: The store gave no answer; the change may
            take effect.
        """
        await self.refresh()
        if self.document.revision != expected:
            return False
        document.revision = expected + 1
        accepted = await self._store.swap(
            DOCUMENT_KEY, pack(document), version=self._version
        )
        if accepted:
            self._adopt(document)
        else:
            await self.refresh()
        return accepted

    def _adopt(self, document):
        self.document = document
        _log.info("config_in_force", revision=document.revision)
        self._changed.set()
        self._changed = trio.Event()

    async def wait_changed(self):
        """Wait until another revision is in force."""
        await self._changed.wait()
