"""Watches the configuration of the site in the store."""

import trio

from radishlanding.config import Site
from radishlanding.observe import EventLog
from radishlanding.store import PrefixWatch

_log = EventLog("radishlanding.dispatch")


class SiteWatch:
    """Hold the newest site configuration; never fall back to an older one."""

    __slots__ = ("_changed", "_parse", "_watch", "site")

    def __init__(self, *, store, prefix, parse):
        """Initialise the watch; :meth:`run` follows the keys.

        :param store: A :class:`radishlanding.store.TransactionalStore`.
        :param prefix: Prefix of the configuration keys.
        :param parse: Callable that takes the items by key and returns a
            :class:`radishlanding.config.Site`.
        """
        self._changed = trio.Event()
        self._parse = parse
        self._watch = PrefixWatch(store=store, prefix=prefix)
        self.site = Site()

    @property
    def is_ready(self):
        """Return whether a configuration has been read."""
        return self.site.version > 0

    @property
    def synced_s(self):
        """Return when the watch was last in sync, in boot clock seconds."""
        return self._watch.synced_s

    async def wait_changed(self):
        """Wait for the next update of the site."""
        await self._changed.wait()

    async def run(self):
        """Follow the configuration keys until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._watch.run)
            while True:
                await self._watch.wait_changed()
                self._update()

    def _update(self):
        site = self._parse(self._watch.items)
        if site.version < self.site.version:
            _log.warning(
                "config_older", version=site.version, known=self.site.version
            )
            return
        if site != self.site:
            _log.info(
                "config_in_force",
                version=site.version,
                queues=len(site.queues),
                zones_out=",".join(sorted(site.zones_out)) or "none",
            )
        self.site = site
        self._changed.set()
        self._changed = trio.Event()
