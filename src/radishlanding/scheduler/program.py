"""The scheduler program."""

import functools
import signal

import trio

from radishlanding.membership import SiteMembership
from radishlanding.observe import Counters
from radishlanding.observe import EventLog
from radishlanding.observe import start_export
from radishlanding.peer import PeerServer
from radishlanding.scheduler.handler import SchedulerHandler
from radishlanding.scheduler.process_context import ProcessContext
from radishlanding.scheduler.shard_supervisor import ShardSupervisor
from radishlanding.vm import LeaseTiming

MAX_PEER_CONNECTIONS = 5000

_log = EventLog("radishlanding.scheduler")


class SchedulerProgram:
    """Run a scheduler; the composition root of its process."""

    __slots__ = (
        "_cfg",
        "_counters",
        "_handler",
        "_membership",
        "_server",
        "_supervisors",
    )

    def __init__(self, *, cfg):
        """Create the components without starting them.

        :param cfg: A :class:`radishlanding.settings.SchedulerSettings`.
        """
        self._cfg = cfg
        self._counters = Counters()
        self._membership = SiteMembership(
            kind="scheduler", cfg=cfg, counters=self._counters
        )
        self._supervisors = {}
        self._handler = SchedulerHandler(
            identity=(self._membership.process_id, cfg.zone),
            cfg_watch=self._membership.cfg_watch,
            member_watch=self._membership.member_watch,
            supervisors=lambda: self._supervisors,
        )
        self._server = PeerServer(
            handler=self._handler,
            counters=self._counters,
            max_connections=MAX_PEER_CONNECTIONS,
        )

    async def run(self):
        """Run until SIGTERM or SIGINT, then deregister the process."""
        start_export(
            counters=self._counters,
            endpoint=self._cfg.metrics_endpoint,
            program="scheduler",
            process_id=self._membership.process_id,
        )
        with trio.open_signal_receiver(
            signal.SIGTERM, signal.SIGINT
        ) as signals:
            async with trio.open_nursery() as nursery:
                await self._start(nursery)
                async for number in signals:
                    _log.info("stopping", signal=number)
                    break
                nursery.cancel_scope.cancel()
        await self._membership.close()
        _log.info("stopped")

    async def _start(self, nursery):
        """Open the peer port and start the background tasks."""
        host, _, port = self._cfg.peer_listen.rpartition(":")
        port = await nursery.start(
            functools.partial(self._server.run, host=host, port=int(port))
        )
        address = self._cfg.peer_advertise or f"{host}:{port}"
        _log.info("listening", peer=f"{host}:{port}", advertised=address)
        self._membership.start(nursery, address=address)
        for wait_changed in (
            self._membership.cfg_watch.wait_changed,
            self._membership.member_watch.wait_changed,
        ):
            nursery.start_soon(self._push_directory, wait_changed)
        nursery.start_soon(self._run_supervisors, nursery)

    async def _push_directory(self, wait_changed):
        while True:
            await wait_changed()
            await self._handler.push_directory()

    async def _run_supervisors(self, nursery):
        """Start a supervisor for each shard of the first configuration."""
        cfg_watch = self._membership.cfg_watch
        while cfg_watch.document.revision == 0:
            await cfg_watch.wait_changed()
        ctx = ProcessContext(
            process_id=self._membership.process_id,
            store=self._membership.store,
            cfg_watch=cfg_watch,
            member_watch=self._membership.member_watch,
            registration=self._membership.registration,
            timing=LeaseTiming(
                vm_lease_s=self._cfg.vm_lease_s,
                owner_grace_s=self._cfg.owner_grace_s,
                drift_s=self._cfg.drift_s,
            ),
            counters=self._counters,
            push_owners=self._handler.push_owners,
        )
        for shard in range(cfg_watch.document.shards):
            self._supervisors[shard] = ShardSupervisor(shard=shard, ctx=ctx)
            nursery.start_soon(self._supervisors[shard].run)
