"""The scheduler program: wires its parts."""

import functools
import signal
import uuid

import trio

from radishlanding.config import ConfigWatch
from radishlanding.etcd import CallBudget
from radishlanding.etcd import EtcdStore
from radishlanding.membership import Member
from radishlanding.membership import Members
from radishlanding.membership import Registration
from radishlanding.observe import Counters
from radishlanding.observe import EventLog
from radishlanding.observe import start_export
from radishlanding.peer import PeerServer
from radishlanding.scheduler.handler import SchedulerHandler
from radishlanding.scheduler.seat_parts import SeatParts
from radishlanding.scheduler.shard_seat import ShardSeat
from radishlanding.scheduler.timing import Timing

MAX_PEERS = 5000
CLOSE_TIMEOUT_S = 2.0

_log = EventLog("radishlanding.scheduler")


class SchedulerProgram:
    """Run a scheduler; the composition root of its process."""

    __slots__ = (
        "_cfg",
        "_cfg_watch",
        "_counters",
        "_handler",
        "_members",
        "_process_id",
        "_registration",
        "_seats",
        "_server",
        "_store",
    )

    def __init__(self, *, cfg):
        """Wire the parts.

        :param cfg: A :class:`radishlanding.settings.SchedulerSettings`.
        """
        self._cfg = cfg
        self._process_id = f"{cfg.id}-{uuid.uuid4().hex[:8]}"
        self._counters = Counters()
        self._store = EtcdStore(
            address=cfg.store,
            budget=CallBudget(
                rate=cfg.store_calls_per_s, burst=cfg.store_calls_per_s
            ),
            counters=self._counters,
        )
        self._cfg_watch = ConfigWatch(store=self._store)
        self._members = Members(store=self._store)
        self._registration = None
        self._seats = {}
        self._handler = SchedulerHandler(
            identity=(self._process_id, cfg.zone),
            cfg_watch=self._cfg_watch,
            members=self._members,
            seats=lambda: self._seats,
        )
        self._server = PeerServer(
            handler=self._handler,
            counters=self._counters,
            max_connections=MAX_PEERS,
        )

    async def run(self):
        """Work until SIGTERM or SIGINT, then leave in order."""
        start_export(
            counters=self._counters,
            endpoint=self._cfg.metrics_endpoint,
            program="scheduler",
            process_id=self._process_id,
        )
        async with trio.open_nursery() as nursery:
            await self._start(nursery)
            with trio.open_signal_receiver(
                signal.SIGTERM, signal.SIGINT
            ) as signals:
                async for number in signals:
                    _log.info("stopping", signal=number)
                    break
            nursery.cancel_scope.cancel()
        with trio.move_on_after(CLOSE_TIMEOUT_S):
            await self._registration.close()
        _log.info("stopped")

    async def _start(self, nursery):
        host, _, port = self._cfg.peer_listen.rpartition(":")
        port = await nursery.start(
            functools.partial(self._server.run, host=host, port=int(port))
        )
        address = self._cfg.peer_advertise or f"{host}:{port}"
        _log.info("listening", peer=f"{host}:{port}", advertised=address)
        self._registration = Registration(
            store=self._store,
            member=Member(
                kind="scheduler",
                process_id=self._process_id,
                zone=self._cfg.zone,
                address=address,
            ),
        )
        nursery.start_soon(self._registration.run)
        nursery.start_soon(self._members.run)
        nursery.start_soon(self._cfg_watch.run)
        nursery.start_soon(self._push_configuration)
        nursery.start_soon(self._push_members)
        nursery.start_soon(self._run_seats, nursery)

    async def _push_configuration(self):
        while True:
            await self._cfg_watch.wait_changed()
            await self._handler.push_directory()

    async def _push_members(self):
        while True:
            await self._members.wait_changed()
            await self._handler.push_directory()

    async def _run_seats(self, nursery):
        while self._cfg_watch.document.revision == 0:
            await self._cfg_watch.wait_changed()
        parts = SeatParts(
            process_id=self._process_id,
            store=self._store,
            cfg_watch=self._cfg_watch,
            members=self._members,
            registration=self._registration,
            timing=Timing(
                vm_lease_s=self._cfg.vm_lease_s,
                owner_grace_s=self._cfg.owner_grace_s,
                drift_s=self._cfg.drift_s,
            ),
            counters=self._counters,
            announce_owners=self._handler.push_owners,
        )
        for shard in range(self._cfg_watch.document.shards):
            self._seats[shard] = ShardSeat(shard=shard, parts=parts)
            nursery.start_soon(self._seats[shard].run)
