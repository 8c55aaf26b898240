"""Connects an agent to a few entries."""

import trio

from radishlanding.message import LoadReport
from radishlanding.peer import Link
from radishlanding.shard import rendezvous
from radishlanding.vm import clock_ms

REPORT_INTERVAL_S = 0.7


class EntryLinks:
    """Maintain links to the VM's preferred entries, and report load to them.

    Entries are ranked by rendezvous hashing, so that VMs spread over them.
    """

    __slots__ = (
        "_cfg",
        "_counters",
        "_handler",
        "_incarnation",
        "_links",
        "_pool",
        "_site",
    )

    def __init__(self, *, cfg, incarnation, handler, pool, site, counters):
        """Create the object without links; :meth:`run` dials.

        :param cfg: The :class:`radishlanding.settings.AgentSettings`.
        :param incarnation: Unique identity of the agent process.
        :param handler: The :class:`AgentHandler` for the entries' messages.
        :param pool: The :class:`radishlanding.target.TargetPool`.
        :param site: The :class:`SiteView`.
        :param counters: The process's :class:`radishlanding.observe.Counters`.
        """
        self._cfg = cfg
        self._incarnation = incarnation
        self._handler = handler
        self._pool = pool
        self._site = site
        self._counters = counters
        self._links = {}

    async def run(self):
        """Follow changes of the entries, and report load, until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._report)
            while True:
                preferred = rendezvous(self._cfg.vm, self._site.entries)
                self._update_links(preferred[: self._cfg.entry_links], nursery)
                await self._site.wait_changed()

    def _update_links(self, preferred, nursery):
        for address in list(self._links):
            if address not in preferred:
                self._links.pop(address).close()
        for address in preferred:
            if address not in self._links:
                link = Link(
                    address=address, handler=self, counters=self._counters
                )
                self._links[address] = link
                nursery.start_soon(link.run)

    async def _report(self):
        while True:
            with trio.move_on_after(REPORT_INTERVAL_S):
                await self._pool.wait_changed()
            report = self._make_report()
            for link in list(self._links.values()):
                if link.conn is not None:
                    await link.conn.notify(report)

    def _make_report(self):
        return LoadReport(
            vm=self._cfg.vm,
            incarnation=self._incarnation,
            zone=self._cfg.zone,
            clock_ms=clock_ms(),
            revision=self._site.revision,
            targets=self._pool.loads(),
        )

    async def connected(self, conn):
        """Send a load report on a new connection."""
        await conn.notify(self._make_report())

    async def handle(self, message, conn):
        """Handle a message of an entry."""
        return await self._handler.handle(message, conn)

    def disconnected(self, conn):
        """Do nothing; the link reconnects."""
