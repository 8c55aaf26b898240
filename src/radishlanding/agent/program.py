"""Program of the agent."""

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

WORKER_RETRY_DELAY_S = 0.5
DRAIN_POLL_INTERVAL_S = 0.05
FINAL_REPORT_DELAY_S = 0.3

_log = EventLog("radishlanding.agent")


class AgentProgram:
    """Compose and run the agent process."""

    __slots__ = (
        "_cfg",
        "_counters",
        "_incarnation",
        "_lease",
        "_pool",
        "_site",
        "_task_manager",
        "_worker",
    )

    def __init__(self, *, cfg):
        """Create what does not depend on the worker's answers.

        :param cfg: A :class:`radishlanding.settings.AgentSettings`.
        """
        self._cfg = cfg
        self._incarnation = f"{cfg.vm}-{uuid.uuid4().hex[:8]}"
        self._counters = Counters()
        self._worker = HttpWorker(address=cfg.worker)
        self._lease = VmLease(duration_s=cfg.vm_lease_s)
        self._site = SiteView(zone=cfg.zone, schedulers=cfg.schedulers)
        self._task_manager = None
        self._pool = None

    async def run(self):
        """Run until SIGTERM or SIGINT, then drain."""
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
        """Adopt what runs on the VM, and only then accept work."""
        ledger = await self._read_worker()
        self._pool = TargetPool(ledger=ledger)
        guard = StartGuard(
            incarnation=self._incarnation, lease=self._lease, site=self._site
        )
        self._task_manager = TaskManager(
            worker=self._worker,
            ledger=ledger,
            vm_lease=self._lease,
            guard=guard,
            worker_lease_s=self._cfg.worker_lease_s,
            nursery=nursery,
        )
        await self._adopt()
        executor = RequestExecutor(
            registry=AttemptRegistry(started_ms=clock_ms()),
            pool=self._pool,
            guard=guard,
            incarnation=self._incarnation,
            counters=self._counters,
            nursery=nursery,
        )
        handler = AgentHandler(
            executor=executor,
            task_manager=self._task_manager,
            ledger=ledger,
            site=self._site,
        )
        await self._listen(nursery)
        nursery.start_soon(self._pool.sweep)
        nursery.start_soon(self._task_manager.run)
        self._connect(nursery, handler, ledger.capacity)

    def _connect(self, nursery, handler, capacity):
        """Connect to the shard's owner and to entries."""
        owner_link = OwnerLink(
            cfg=self._cfg,
            identity=(self._incarnation, capacity),
            handler=handler,
            task_manager=self._task_manager,
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
            await trio.sleep(WORKER_RETRY_DELAY_S)

    async def _adopt(self):
        while True:
            try:
                return await self._task_manager.adopt()
            except (WorkerUnavailable, WorkerRefused) as exc:
                _log.warning("worker_unread", reason=exc)
            await trio.sleep(WORKER_RETRY_DELAY_S)

    async def _listen(self, nursery):
        host, _, port = self._cfg.announce_listen.rpartition(":")
        server = HttpServer(handler=AnnouncementApi(pool=self._pool))
        port = await nursery.start(
            functools.partial(server.run, host=host, port=int(port))
        )
        _log.info("listening", announce=f"{host}:{port}")

    async def _drain(self):
        """Refuse new work, and wait for the requests in flight.

        Tasks run on under the worker's leases, and the VM's next agent
        adopts them.
        """
        if self._pool is None:
            return
        if self._task_manager is not None:
            self._task_manager.is_closed = True
        self._pool.close()
        with trio.move_on_after(self._cfg.drain_s):
            await trio.sleep(FINAL_REPORT_DELAY_S)
            while self._pool.outstanding():
                await trio.sleep(DRAIN_POLL_INTERVAL_S)
            await trio.sleep(FINAL_REPORT_DELAY_S)
            await self._hand_over_tasks()

    async def _hand_over_tasks(self):
        if self._task_manager is None:
            return
        try:
            await self._task_manager.hand_over()
        except (WorkerUnavailable, WorkerRefused) as exc:
            _log.warning("renew_failed", reason=exc)
