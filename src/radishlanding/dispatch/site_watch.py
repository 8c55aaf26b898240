"""Follows what operators have set."""

import trio

from radishlanding.config import Site
from radishlanding.observe import EventLog
from radishlanding.store import PrefixWatch

_log = EventLog("radishlanding.dispatch")


class SiteWatch:
    """Hold the newest site; it never goes back to an older version."""

    __slots__ = ("_changed", "_parse", "_watch", "site")

    def __init__(self, *, store, prefix, parse):
        """Prepare; :meth:`run` follows.

        :param store: A :class:`radishlanding.store.TransactionalStore`.
        :param prefix: Prefix of the operators' keys.
        :param parse: Callable that takes the keys by name and returns a
            :class:`radishlanding.config.Site`.
        """
        self._changed = trio.Event()
        self._parse = parse
        self._watch = PrefixWatch(store=store, prefix=prefix)
        self.site = Site()

    @property
    def is_ready(self):
        """Return whether there is a site to go by."""
        return self.site.version > 0

    @property
    def synced_s(self):
        """Return when the store last confirmed it, on the boot clock."""
        return self._watch.synced_s

    async def wait_changed(self):
        """Wait until the site has changed."""
        await self._changed.wait()

    async def run(self):
        """Follow the operators' keys until cancelled."""
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
