"""Connects an agent to the dispatchers of its site."""

import trio

from radishlanding.message import Accepted
from radishlanding.message import EndsRecorded
from radishlanding.message import LeaderAway
from radishlanding.message import LeaderNotice
from radishlanding.message import StartOrders
from radishlanding.message import StartOrdersAnswer
from radishlanding.message import StopOrders
from radishlanding.message import VmHello
from radishlanding.observe import EventLog
from radishlanding.peer import CallRefused
from radishlanding.peer import ConnectionLost
from radishlanding.peer import Link
from radishlanding.vm import clock_ms
from radishlanding.vmagent.introductions import Introductions
from radishlanding.vmagent.report_sender import ReportSender

# A silent connection ends earlier, so that a dispatcher that is merely slow
# does not get the same introduction twice.
HELLO_TIMEOUT_S = 3.0

_log = EventLog("radishlanding.vmagent")


class DispatcherLinks:
    """Maintain links to dispatchers, and follow the leader among them.

    The leader is the dispatcher that accepted the agent with the highest
    epoch. The supervisors report to it, and take orders from nobody else.
    """

    __slots__ = (
        "_counters",
        "_introductions",
        "_leader_lost",
        "_links",
        "_nursery",
        "_supervisors",
        "epoch",
        "hints",
        "leader_conn",
    )

    def __init__(self, *, supervisors, counters):
        """Start without links; call :meth:`open` before :meth:`dial`.

        :param supervisors: The :class:`WorkerSupervisor` objects by VM; the
            caller may add to it.
        :param counters: The process's :class:`radishlanding.observe.Counters`.
        """
        self._counters = counters
        # By open connection.
        self._introductions = {}
        self._links = {}
        self._leader_lost = trio.Event()
        self._nursery = None
        self._supervisors = supervisors
        self.leader_conn = None
        self.epoch = 0
        # Addresses that other dispatchers have named as the leader's.
        self.hints = set()

    def open(self, nursery):
        """Set the nursery that links and calls run in."""
        self._nursery = nursery

    @property
    def has_leader(self):
        """Return whether a leader is connected."""
        return self.leader_conn is not None

    def dial(self, addresses):
        """Open links to the addresses that have none.

        :param addresses: ``ip:port`` of dispatchers.
        """
        for address in sorted(addresses):
            if address not in self._links:
                link = Link(
                    address=address, handler=self, counters=self._counters
                )
                self._links[address] = link
                self._nursery.start_soon(link.run)

    def retry(self, addresses):
        """Dial again now what is not connected.

        :param addresses: ``ip:port`` of dispatchers that have just started,
            or that lead; those without a link are left out.
        """
        for address in addresses:
            if address in self._links:
                self._links[address].retry()

    def close_disconnected(self, addresses):
        """Close the links to these addresses that are not connected."""
        for address in addresses:
            link = self._links.get(address)
            if link is not None and link.conn is None:
                self._links.pop(address).close()

    def close_others(self, addresses):
        """Close every link but those to these addresses and to the leader.

        :param addresses: ``ip:port`` of the dispatchers to stay linked to.
        """
        for address, link in list(self._links.items()):
            if address not in addresses and link.conn is not self.leader_conn:
                self._links.pop(address).close()

    @property
    def leader_address(self):
        """Return the address of the connected leader, or None."""
        for address, link in self._links.items():
            if self.leader_conn is not None and link.conn is self.leader_conn:
                return address
        return None

    async def wait_leader_lost(self):
        """Wait until the connection to the leader is lost."""
        await self._leader_lost.wait()

    @property
    def addresses(self):
        """Return the addresses of all links."""
        return set(self._links)

    async def connected(self, conn):
        """Introduce every VM on a new connection."""
        self._introductions[conn] = Introductions()
        await self._introduce_all(conn)

    def disconnected(self, conn):
        """Stop following the leader if this was its connection."""
        self._introductions.pop(conn, None)
        self._stop_following(conn)

    def _stop_following(self, conn):
        if conn is self.leader_conn:
            self.leader_conn = None
            self._forget_accepted(conn)
            _log.warning("leader_lost", peer=conn.peer, epoch=self.epoch)
            self._leader_lost.set()
            self._leader_lost = trio.Event()

    def _forget_accepted(self, conn):
        """Introduce the VMs again when this dispatcher is asked next."""
        introductions = self._introductions.get(conn)
        if introductions is not None:
            introductions.forget_all()

    async def _introduce_all(self, conn):
        for supervisor in list(self._supervisors.values()):
            await self._introduce(conn, supervisor)

    def introduce(self, supervisor):
        """Introduce a new VM to every connected dispatcher."""
        for link in self._links.values():
            if link.conn is not None:
                self._nursery.start_soon(
                    self._introduce, link.conn, supervisor
                )

    async def _introduce(self, conn, supervisor):
        """Introduce a VM unless this is under way or was accepted."""
        introductions = self._introductions.get(conn)
        if introductions is None:
            return
        while introductions.begin(supervisor.vm):
            epoch = 0
            try:
                epoch = await self._send_hello(conn, supervisor)
            finally:
                is_outdated = introductions.end(supervisor.vm, epoch=epoch)
            if not is_outdated:
                return

    async def _send_hello(self, conn, supervisor):
        """Introduce a VM, and follow the dispatcher if it accepts.

        :returns: Epoch of the leader that is followed, 0 for none.
        """
        hello = VmHello(
            vm=supervisor.vm,
            epoch=self.epoch,
            clock_ms=clock_ms(),
            state=supervisor.state(),
            reads_specs=True,
            reads_proof_age=True,
        )
        try:
            welcome = await conn.call(hello, timeout_s=HELLO_TIMEOUT_S)
        except CallRefused as exc:
            _log.debug("hello_refused", peer=conn.peer, reason=exc)
            self._stop_following(conn)
            return 0
        except ConnectionLost as exc:
            _log.info("hello_unanswered", peer=conn.peer, reason=exc)
            if conn is self.leader_conn:
                # Every VM is introduced again on the next connection.
                conn.abort()
            return 0
        if not welcome.accepted:
            self._handle_redirect(conn, welcome.leader)
            return 0
        if welcome.epoch < self.epoch or conn not in self._introductions:
            return 0
        self._follow(conn, welcome.epoch)
        supervisor.use_fence(welcome.fence)
        return welcome.epoch

    def _follow(self, conn, epoch):
        if conn is not self.leader_conn:
            _log.info(
                "leader_found", peer=conn.peer, epoch=epoch, before=self.epoch
            )
            self._forget_accepted(self.leader_conn)
        self.leader_conn = conn
        self.epoch = epoch
        self.hints.clear()

    def _handle_redirect(self, conn, leader):
        """Dial the dispatcher that leads according to another one."""
        self._stop_following(conn)
        if leader and not self.has_leader:
            self.hints.add(leader)
            self.dial({leader})
            self.retry({leader})

    def ask_leader(self):
        """Introduce the VMs again to all connected dispatchers.

        Those that do not lead name the one that does.
        """
        for link in self._links.values():
            if link.conn is not None:
                self._nursery.start_soon(self._introduce_all, link.conn)

    async def introduce_again(self, conn, supervisor):
        """Introduce a VM whose report was refused, unless by an old leader.

        :param conn: Connection on which the report was refused.
        """
        if conn is self.leader_conn:
            self._introductions[conn].forget(supervisor.vm)
            await self._introduce(conn, supervisor)

    async def run_reports(self, supervisor):
        """Report a VM to the leader until cancelled."""
        await ReportSender(links=self, supervisor=supervisor).run()

    def _handle_notice(self, notice, conn):
        introductions = self._introductions.get(conn)
        if introductions is not None:
            introductions.announce(notice.epoch)
            self._nursery.start_soon(self._introduce_all, conn)

    async def handle(self, message, conn):
        """Handle a message of a dispatcher.

        :raises CallRefused: The sender is not the leader, the VM or the kind
            of message is unknown, or start orders are of another epoch.
        """
        if isinstance(message, LeaderNotice):
            if message.epoch >= self.epoch:
                self._handle_notice(message, conn)
            return Accepted()
        if isinstance(message, LeaderAway):
            return Accepted()
        if conn is not self.leader_conn:
            raise CallRefused("the sender is not the leader")
        supervisor = self._supervisors.get(message.vm)
        if supervisor is None:
            raise CallRefused(f"unknown VM {message.vm}")
        if isinstance(message, StartOrders):
            if message.epoch != self.epoch:
                raise CallRefused("the orders are of another epoch")
            try:
                message.restore_specs()
            except ValueError as exc:
                raise CallRefused(str(exc)) from exc
            now_ms = clock_ms()
            refused = supervisor.start(message, clock_ms=now_ms)
            return StartOrdersAnswer(clock_ms=now_ms, refused=refused)
        if isinstance(message, StopOrders):
            supervisor.stop([(key.task_id, key.epoch) for key in message.keys])
            return Accepted()
        if isinstance(message, EndsRecorded):
            supervisor.table.settle(
                [(key.task_id, key.epoch) for key in message.keys]
            )
            return Accepted()
        raise CallRefused(f"unexpected {type(message).__name__}")
