"""The agent program: wires its parts."""

import functools
import signal
import uuid

import trio

from radishlanding.agent.entry_links import EntryLinks
from radishlanding.agent.handler import AgentHandler
from radishlanding.agent.owner_link import OwnerLink
from radishlanding.agent.request_executor import RequestExecutor
from radishlanding.agent.site_view import SiteView
from radishlanding.agent.start_guard import StartGuard
from radishlanding.agent.task_manager import TaskManager
from radishlanding.http import HttpServer
from radishlanding.observe import Counters
from radishlanding.observe import EventLog
from radishlanding.observe import start_export
from radishlanding.request import AttemptRegistry
from radishlanding.target import AnnouncementApi
from radishlanding.target import TargetPool
from radishlanding.vm import clock_ms
from radishlanding.vm import Ledger
from radishlanding.vm import VmLease
from radishlanding.worker import HttpWorker
from radishlanding.worker import WorkerRefused
from radishlanding.worker import WorkerUnavailable

WORKER_RETRY_S = 0.5
DRAIN_POLL_S = 0.05
LAST_REPORT_S = 0.3

_log = EventLog("radishlanding.agent")


class AgentProgram:
    """Run an agent; the composition root of its process."""

    __slots__ = (
        "_cfg",
        "_counters",
        "_incarnation",
        "_keeper",
        "_lease",
        "_pool",
        "_site",
        "_worker",
    )

    def __init__(self, *, cfg):
        """Wire what does not depend on the worker's answers.

        :param cfg: A :class:`radishlanding.settings.AgentSettings`.
        """
        self._cfg = cfg
        self._incarnation = f"{cfg.vm}-{uuid.uuid4().hex[:8]}"
        self._counters = Counters()
        self._worker = HttpWorker(address=cfg.worker)
        self._lease = VmLease(duration_s=cfg.vm_lease_s)
        self._site = SiteView(zone=cfg.zone, schedulers=cfg.schedulers)
        self._keeper = None
        self._pool = None

    async def run(self):
        """Work until SIGTERM or SIGINT, then leave in order."""
        start_export(
            counters=self._counters,
            endpoint=self._cfg.metrics_endpoint,
            program="agent",
            process_id=self._incarnation,
        )
        with trio.open_signal_receiver(
            signal.SIGTERM, signal.SIGINT
        ) as signals:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._start, nursery)
                async for number in signals:
                    _log.info("stopping", signal=number)
                    break
                await self._drain()
                nursery.cancel_scope.cancel()
        _log.info("stopped")

    async def _start(self, nursery):
        """Learn what runs on the VM, and only then take part."""
        ledger = await self._read_worker()
        self._pool = TargetPool(ledger=ledger)
        guard = StartGuard(
            incarnation=self._incarnation, lease=self._lease, site=self._site
        )
        self._keeper = TaskManager(
            worker=self._worker,
            ledger=ledger,
            vm_lease=self._lease,
            guard=guard,
            worker_lease_s=self._cfg.worker_lease_s,
            nursery=nursery,
        )
        await self._adopt()
        desk = RequestExecutor(
            book=AttemptRegistry(started_ms=clock_ms()),
            pool=self._pool,
            guard=guard,
            incarnation=self._incarnation,
            counters=self._counters,
            nursery=nursery,
        )
        handler = AgentHandler(
            desk=desk, keeper=self._keeper, ledger=ledger, site=self._site
        )
        await self._listen(nursery)
        nursery.start_soon(self._pool.sweep)
        nursery.start_soon(self._keeper.run)
        self._connect(nursery, handler, ledger.capacity)

    def _connect(self, nursery, handler, capacity):
        """Report to the owner and to entries."""
        owner_link = OwnerLink(
            cfg=self._cfg,
            identity=(self._incarnation, capacity),
            handler=handler,
            keeper=self._keeper,
            lease=self._lease,
            pool=self._pool,
            site=self._site,
            counters=self._counters,
        )
        entry_links = EntryLinks(
            cfg=self._cfg,
            incarnation=self._incarnation,
            handler=handler,
            pool=self._pool,
            site=self._site,
            counters=self._counters,
        )
        nursery.start_soon(owner_link.run)
        nursery.start_soon(entry_links.run)

    async def _read_worker(self):
        while True:
            try:
                return Ledger(capacity=await self._worker.capacity())
            except (WorkerUnavailable, WorkerRefused) as exc:
                _log.warning("worker_unread", reason=exc)
            await trio.sleep(WORKER_RETRY_S)

    async def _adopt(self):
        while True:
            try:
                return await self._keeper.adopt()
            except (WorkerUnavailable, WorkerRefused) as exc:
                _log.warning("worker_unread", reason=exc)
            await trio.sleep(WORKER_RETRY_S)

    async def _listen(self, nursery):
        host, _, port = self._cfg.announce_listen.rpartition(":")
        server = HttpServer(handler=AnnouncementApi(pool=self._pool))
        port = await nursery.start(
            functools.partial(server.run, host=host, port=int(port))
        )
        _log.info("listening", announce=f"{host}:{port}")

    async def _drain(self):
        """Refuse new work and let the requests in flight end.

        Tasks run on under their worker's leases; the next agent of the VM
        takes them over.
        """
        if self._pool is None:
            return
        if self._keeper is not None:
            self._keeper.is_closed = True
        self._pool.close()
        with trio.move_on_after(self._cfg.drain_s):
            await trio.sleep(LAST_REPORT_S)
            while self._pool.outstanding():
                await trio.sleep(DRAIN_POLL_S)
            await trio.sleep(LAST_REPORT_S)
            await self._leave_tasks()

    async def _leave_tasks(self):
        if self._keeper is None:
            return
        try:
            await self._keeper.leave()
        except (WorkerUnavailable, WorkerRefused) as exc:
            _log.warning("renew_failed", reason=exc)
