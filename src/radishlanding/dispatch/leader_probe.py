"""Detects whether the known leader has stopped leading."""

import trio

from radishlanding.message import Accepted
from radishlanding.message import GetStatus
from radishlanding.message import LeaderAway
from radishlanding.message import LeaderNotice
from radishlanding.observe import EventLog
from radishlanding.peer import CallRefused
from radishlanding.peer import Connection
from radishlanding.peer import ConnectionLost
from radishlanding.peer import dial
from radishlanding.vm import boot_clock_s

CALL_TIMEOUT_S = 1.0
REDIAL_DELAY_S = 0.1
# A leader that cannot reach the store says so every 0.8 s.
MAX_SIGN_AGE_S = 1.0
# Several times the interval at which a process that may claim asks.
IDLE_S = 0.5

_log = EventLog("radishlanding.dispatch")


class LeaderProbe:
    """Keep a connection to the leader and detect when it stops leading.

    ``conn`` is that connection, or None.

    A leader is gone if its address refuses connections, if another process
    answers there, or if it reports that it has lost the store. A timeout
    proves nothing; the lease of the leader's key covers that case.

    That a leader is gone permits a claim, as the store decides who leads. It
    does not prove that the leader is dead: whatever lies on the way may refuse
    the connection, and the leader may still grant leases. A leader that is
    gone is probed on, and the sign of it has to be recent.
    """

    __slots__ = (
        "_changed",
        "_counters",
        "_followed_s",
        "_gone_s",
        "_is_refusing",
        "_member",
        "_version",
        "conn",
    )

    def __init__(self, *, counters):
        """Initialise the probe without a leader.

        :param counters: Metrics counters of the process.
        """
        self._changed = trio.Event()
        self._counters = counters
        self._followed_s = 0.0
        # Time of the newest sign that the process is gone, 0 for none.
        self._gone_s = 0.0
        self._is_refusing = False
        self._member = None
        self._version = 0
        self.conn = None

    def follow(self, member, *, version):
        """Probe a process; to be called as long as it matters.

        :param member: A :class:`radishlanding.membership.Member`.
        :param version: Version of the leader's key that names the process;
            with a new version, no earlier sign counts.
        """
        is_new = (member, version) != (self._member, self._version)
        must_wake = is_new or self._is_idle()
        self._followed_s = boot_clock_s()
        if is_new:
            self._gone_s = 0.0
            self._member = member
            self._version = version
        if must_wake:
            self._changed.set()
            self._changed = trio.Event()

    async def notify(self, message):
        """Send a message to the probed process if it is connected."""
        if self.conn is not None:
            await self.conn.notify(message)

    def is_gone(self, member, *, version, since_s=0.0):
        """Return whether a process seems to have stopped leading.

        :param member: A :class:`radishlanding.membership.Member`.
        :param version: Version of the leader's key that names the process.
        :param since_s: Time on the boot clock, in seconds, before which no
            sign counts.
        """
        return (
            (member, version) == (self._member, self._version)
            and self._gone_s > since_s
            and self._has_recent_sign()
        )

    async def is_still_gone(self, member):
        """Return whether a process that :meth:`is_gone` is so right now.

        One that has refused a connection is dialled once more.

        :param member: A :class:`radishlanding.membership.Member`.
        """
        if not self._is_refusing:
            return True
        try:
            stream = await dial(address=member.address)
        except ConnectionLost as exc:
            return exc.was_refused
        await trio.aclose_forcefully(stream)
        return False

    def _has_recent_sign(self):
        return boot_clock_s() - self._gone_s < MAX_SIGN_AGE_S

    def _is_idle(self):
        """Return whether there is no need to dial a process that is gone."""
        return self._gone_s > 0 and boot_clock_s() - self._followed_s > IDLE_S

    async def run(self):
        """Probe until cancelled."""
        while True:
            if self._member is None or self._is_idle():
                await self._changed.wait()
            member = self._member
            try:
                await self._monitor(member)
            except ConnectionLost as exc:
                if exc.was_refused:
                    self._mark_gone(
                        member, "connection refused", is_refusing=True
                    )
            except CallRefused as exc:
                _log.info("probe_refused", reason=exc)
            await trio.sleep(REDIAL_DELAY_S)

    def _mark_gone(self, member, reason, *, is_refusing=False):
        if member != self._member:
            return
        if not self._has_recent_sign():
            _log.info("process_gone", process=member.process_id, reason=reason)
        self._gone_s = boot_clock_s()
        self._is_refusing = is_refusing

    async def _monitor(self, member):
        stream = await dial(address=member.address)
        conn = Connection(
            stream=stream,
            handler=self,
            counters=self._counters,
            peer=member.address,
        )
        try:
            async with trio.open_nursery() as nursery:
                await nursery.start(conn.run)
                nursery.start_soon(self._identify, conn, member)
                nursery.start_soon(self._abort_on_change, conn, member)
                await conn.wait_closed()
                nursery.cancel_scope.cancel()
        finally:
            self.conn = None

    async def _identify(self, conn, member):
        try:
            answer = await conn.call(GetStatus(), timeout_s=CALL_TIMEOUT_S)
        except (ConnectionLost, CallRefused) as exc:
            _log.info("probe_unanswered", peer=member.address, reason=exc)
            conn.abort()
            return
        found = [summary.process_id for summary in answer.processes]
        if member.process_id not in found:
            self._mark_gone(member, f"its address is now {','.join(found)}'s")
            conn.abort()
            return
        if self._has_recent_sign():
            _log.info("process_answers", process=member.process_id)
        if member == self._member:
            self._gone_s = 0.0
        self.conn = conn

    async def _abort_on_change(self, conn, member):
        """Abort the connection once another process is probed."""
        while self._member == member:
            await self._changed.wait()
        conn.abort()

    async def handle(self, message, conn):
        """Handle the leader's message that it has lost the store.

        Its announcement that it leads needs no action.

        :param message: A message of :mod:`radishlanding.message`.
        :param conn: The connection that it arrived on.
        :raises CallRefused: The message is not expected.
        """
        if isinstance(message, LeaderAway):
            if self._member and message.process_id == self._member.process_id:
                self._mark_gone(self._member, "it has lost the store")
            return Accepted()
        if isinstance(message, LeaderNotice):
            return Accepted()
        raise CallRefused(f"unexpected {type(message).__name__}")

    def disconnected(self, conn):
        """Do nothing; :meth:`run` dials again."""
