"""The agent's connections to the dispatchers of its site."""

import random

import trio

from radishlanding.message import Accepted
from radishlanding.message import EndsRecorded
from radishlanding.message import LeaderAway
from radishlanding.message import LeaderNotice
from radishlanding.message import StartOrders
from radishlanding.message import StartOrdersAnswer
from radishlanding.message import StopOrders
from radishlanding.message import VmHello
from radishlanding.message import VmReport
from radishlanding.observe import EventLog
from radishlanding.peer import CallRefused
from radishlanding.peer import ConnectionLost
from radishlanding.peer import Link
from radishlanding.vm import boot_clock_s
from radishlanding.vm import clock_ms

CALL_TIMEOUT_S = 2.0
# Each report asks for a longer lease, which is ten times as long.
REPORT_PAUSE_S = 0.7
# The same where no figures of serving tasks are needed to weigh images.
CALM_REPORT_PAUSE_S = 1.0
# Reports of several ends at once travel together.
MIN_REPORT_PAUSE_S = 0.01

_log = EventLog("radishlanding.vmagent")


class DispatcherLinks:
    """Follow the leader with the highest epoch, for each seat."""

    __slots__ = (
        "_counters",
        "_links",
        "_lost",
        "_nursery",
        "_seats",
        "conn",
        "epoch",
    )

    def __init__(self, *, seats, counters):
        """Prepare; :meth:`open` gives it a nursery.

        :param seats: The :class:`WorkerSupervisor` objects by VM.
        :param counters: Counts of the process.
        """
        self._counters = counters
        self._links = {}
        self._lost = trio.Event()
        self._nursery = None
        self._seats = seats
        self.conn = None
        self.epoch = 0

    def open(self, nursery):
        """Connect from a nursery."""
        self._nursery = nursery

    @property
    def has_leader(self):
        """Return whether a leader is connected."""
        return self.conn is not None

    def dial(self, addresses):
        """Keep connections to dispatchers.

        :param addresses: ``ip:port`` of dispatchers that are known.
        """
        for address in sorted(addresses):
            if address not in self._links:
                link = Link(
                    address=address, handler=self, counters=self._counters
                )
                self._links[address] = link
                self._nursery.start_soon(link.run)

    def forget(self, addresses):
        """Close connections to addresses that are gone from the site."""
        for address in addresses:
            link = self._links.get(address)
            if link is not None and link.conn is None:
                self._links.pop(address).close()

    def keep(self, addresses):
        """Close connections to dispatchers that are not needed now.

        :param addresses: Those that are; the leader's stays in any case.
        """
        for address, link in list(self._links.items()):
            if address not in addresses and link.conn is not self.conn:
                self._links.pop(address).close()

    @property
    def leader_address(self):
        """Return the address of the leader that is followed, or None."""
        for address, link in self._links.items():
            if self.conn is not None and link.conn is self.conn:
                return address
        return None

    async def wait_lost(self):
        """Wait until the leader's connection is lost."""
        await self._lost.wait()

    @property
    def addresses(self):
        """Return the addresses that are dialled."""
        return set(self._links)

    async def connected(self, conn):
        """Introduce the VMs on a new connection."""
        await self._introduce(conn)

    def lost(self, conn):
        """Note that a connection is gone."""
        if conn is self.conn:
            self.conn = None
            _log.warning("leader_lost", peer=conn.peer, epoch=self.epoch)
            self._lost.set()
            self._lost = trio.Event()

    async def _introduce(self, conn):
        for seat in list(self._seats.values()):
            await self._hello(conn, seat)

    def seat_added(self, seat):
        """Introduce a new seat to every dispatcher."""
        for link in self._links.values():
            if link.conn is not None:
                self._nursery.start_soon(self._hello, link.conn, seat)

    async def _hello(self, conn, seat):
        hello = VmHello(
            vm=seat.vm,
            epoch=self.epoch,
            clock_ms=clock_ms(),
            state=seat.state(),
        )
        try:
            welcome = await conn.call(hello, timeout_s=CALL_TIMEOUT_S)
        except CallRefused as exc:
            _log.debug("hello_refused", peer=conn.peer, reason=exc)
            if conn is self.conn:
                self.lost(conn)
            return
        except ConnectionLost as exc:
            _log.info("hello_unanswered", peer=conn.peer, reason=exc)
            return
        if not welcome.accepted or welcome.epoch < self.epoch:
            return
        if conn is not self.conn:
            _log.info(
                "leader_found",
                peer=conn.peer,
                epoch=welcome.epoch,
                before=self.epoch,
            )
        self.conn = conn
        self.epoch = welcome.epoch
        seat.follow(welcome.fence)

    async def report(self, seat):
        """Report a seat to the leader until cancelled."""
        while True:
            pause_s = (
                REPORT_PAUSE_S if seat.pace.is_needed else CALM_REPORT_PAUSE_S
            )
            with trio.move_on_after(pause_s * random.uniform(0.8, 1)):
                await seat.table.wait_changed()
            await trio.sleep(MIN_REPORT_PAUSE_S)
            conn = self.conn
            if conn is not None and seat.is_listed:
                await self._report_once(conn, seat)

    async def _report_once(self, conn, seat):
        sent_s = boot_clock_s()
        report = VmReport(
            vm=seat.vm,
            is_full=seat.is_listed,
            clock_ms=clock_ms(),
            state=seat.state(),
            running=seat.running(),
            ended=seat.ends(),
        )
        try:
            ack = await conn.call(report, timeout_s=CALL_TIMEOUT_S)
        except CallRefused as exc:
            _log.info("report_refused", peer=conn.peer, reason=exc)
            if conn is self.conn:
                await self._hello(conn, seat)
            return
        except ConnectionLost as exc:
            _log.info("report_unanswered", peer=conn.peer, reason=exc)
            conn.abort()
            return
        seat.table.take_orders(ack.orders)
        seat.pace.learn(ack.weights)
        if ack.granted and conn is self.conn:
            was_held = seat.lease.remaining_s() > 0
            seat.lease.extend(sent_s=sent_s)
            if not was_held:
                seat.table.notify()
        elif not ack.granted:
            _log.warning("lease_not_granted", vm=seat.vm, peer=conn.peer)

    async def handle(self, message, conn):
        """Handle a message of a dispatcher."""
        if isinstance(message, LeaderNotice):
            if message.epoch >= self.epoch:
                self._nursery.start_soon(self._introduce, conn)
            return Accepted()
        if isinstance(message, LeaderAway):
            return Accepted()
        if conn is not self.conn:
            raise CallRefused("not the leader")
        seat = self._seats.get(message.vm)
        if seat is None:
            raise CallRefused(f"no worker {message.vm}")
        if isinstance(message, StartOrders):
            if message.epoch != self.epoch:
                raise CallRefused("another leader is followed")
            now_ms = clock_ms()
            refused = seat.start(message, clock_ms=now_ms)
            return StartOrdersAnswer(clock_ms=now_ms, refused=refused)
        if isinstance(message, StopOrders):
            seat.stop([(key.task_id, key.epoch) for key in message.keys])
            return Accepted()
        if isinstance(message, EndsRecorded):
            seat.table.settle(
                [(key.task_id, key.epoch) for key in message.keys]
            )
            return Accepted()
        raise CallRefused(f"unexpected {type(message).__name__}")
