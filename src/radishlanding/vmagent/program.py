"""The program beside a worker: wires its parts."""

import functools
import signal

import trio

from radishlanding.dispatch.keys import MEMBERS
from radishlanding.http import HttpServer
from radishlanding.http import serve_metrics
from radishlanding.membership import Member
from radishlanding.observe import Counters
from radishlanding.observe import EventLog
from radishlanding.platform import KvStore
from radishlanding.platform import RegistrationApi
from radishlanding.platform import Runner
from radishlanding.policy import choose_standby
from radishlanding.store import CallBudget
from radishlanding.store import CorruptRecord
from radishlanding.store import StoreUnavailable
from radishlanding.store import unpack
from radishlanding.vmagent.dispatcher_links import DispatcherLinks
from radishlanding.vmagent.worker_supervisor import WorkerSupervisor

# Pause of looking for dispatchers while none leads, and while one does.
SEEK_PAUSE_S = 0.5
CHECK_PAUSE_S = 5.0

_log = EventLog("radishlanding.vmagent")


class VmAgentProgram:
    """Run an agent; the composition root of its process."""

    __slots__ = ("_cfg", "_counters", "_line", "_nursery", "_seats", "_store")

    def __init__(self, *, cfg):
        """Wire the parts.

        :param cfg: A :class:`radishlanding.settings.VmAgentSettings`.
        """
        self._cfg = cfg
        self._counters = Counters()
        self._nursery = None
        self._seats = {}
        self._line = DispatcherLinks(
            seats=self._seats, counters=self._counters
        )
        self._store = KvStore(
            address=cfg.store,
            budget=CallBudget(
                rate=cfg.store_calls_per_s, burst=cfg.store_calls_per_s
            ),
            counters=self._counters,
        )

    async def run(self):
        """Work until SIGTERM or SIGINT."""
        with trio.open_signal_receiver(
            signal.SIGTERM, signal.SIGINT, signal.SIGHUP
        ) as signals:
            async with trio.open_nursery() as nursery:
                self._nursery = nursery
                await self._start(nursery)
                async for number in signals:
                    _log.info("signal", number=number)
                    if number != signal.SIGHUP:
                        break
                nursery.cancel_scope.cancel()
        _log.info("stopped")

    async def _start(self, nursery):
        self._line.open(nursery)
        server = HttpServer(handler=RegistrationApi(desk=self))
        host, _, port = self._cfg.report_listen.rpartition(":")
        port = await nursery.start(
            functools.partial(server.run, host=host, port=int(port))
        )
        _log.info("listening", reports=f"{host}:{port}")
        nursery.start_soon(self._seek)
        await serve_metrics(
            nursery,
            counters=self._counters,
            address=self._cfg.metrics_listen,
            program="vmagent",
        )

    async def _seek(self):
        """Keep connections to the dispatchers of the site."""
        self._line.dial(self._seed_addresses())
        known = self._seed_addresses()
        while True:
            try:
                known = await self._read_members() or known
            except StoreUnavailable as exc:
                _log.info("members_unread", reason=exc)
            leader = self._line.leader_address
            needed = choose_standby(self._cfg.id, known, leader=leader)
            self._line.dial(needed)
            if leader is not None:
                self._line.keep(needed)
                with trio.move_on_after(CHECK_PAUSE_S):
                    await self._line.wait_lost()
                if not self._line.has_leader:
                    self._line.dial(known)
            await trio.sleep(SEEK_PAUSE_S)

    def _seed_addresses(self):
        return {
            f"{seed.rpartition(':')[0]}:{self._cfg.peer_port}"
            for seed in self._cfg.seeds
        }

    async def _read_members(self):
        """Return the addresses of all dispatchers; forget those gone."""
        listing = await self._store.list(MEMBERS, is_stale_ok=True)
        addresses = set()
        for item in listing.items:
            try:
                addresses.add(unpack(Member, item.value).address)
            except CorruptRecord as exc:
                _log.error("member_bad", key=item.key, reason=exc)
        if addresses:
            self._line.forget(self._line.addresses - addresses)
        return addresses

    def reported(self, report):
        """Take a worker's report of itself.

        :param report: A :class:`radishlanding.worker.WorkerReport`.
        """
        seat = self._seats.get(report.address)
        if seat is None:
            self._add_seat(report)
        elif self._is_newer(report, seat.report):
            seat.update(report)

    def _is_newer(self, report, known):
        return (report.born_ms, report.number) > (known.born_ms, known.number)

    def _add_seat(self, report):
        seat = WorkerSupervisor(
            report=report,
            make_worker=_make_runner,
            vm_lease_s=self._cfg.vm_lease_s,
            hold_max_s=self._cfg.hold_max_ms / 1000,
            nursery=self._nursery,
            counters=self._counters,
        )
        self._seats[seat.vm] = seat
        _log.info(
            "worker_found",
            vm=seat.vm,
            boot=report.boot,
            pool=report.pool,
            millicores=report.capacity.millicores,
            memory_mb=report.capacity.memory_mb,
        )
        self._nursery.start_soon(self._run_seat, seat)

    async def _run_seat(self, seat):
        self._line.seat_added(seat)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._line.report, seat)
            nursery.start_soon(seat.run)

    def left(self, worker_id):
        """Note that a worker says that it ends."""
        for seat in self._seats.values():
            if seat.report.worker_id == worker_id:
                _log.info("worker_leaves", vm=seat.vm, worker=worker_id)
                seat.is_leaving = True
                seat.table.notify()


def _make_runner(report):
    return Runner(address=report.address, worker_id=report.worker_id)
