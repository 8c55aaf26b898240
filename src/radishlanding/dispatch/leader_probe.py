"""Tells whether the process that is said to lead is still there."""

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
# Less than a claim takes, so that the next leader knows of the death.
CONFIRM_DELAY_S = 0.03

_log = EventLog("radishlanding.dispatch")


class LeaderProbe:
    """Keep a connection to the leader, and notice its end.

    ``conn`` is that connection, None while there is none.

    Three things prove that a process does not lead any more: nobody listens
    at its address, another process does, or it says so itself. Silence
    proves nothing; the leader's key in the store runs out by itself. That it
    has died is proved by another process at its address, or by two refusals.
    """

    __slots__ = (
        "_changed",
        "_counters",
        "_deaths_s",
        "_followed_s",
        "_gone",
        "_member",
        "_version",
        "conn",
    )

    def __init__(self, *, counters):
        """Start without a leader.

        :param counters: Counts of the process.
        """
        self._changed = trio.Event()
        self._counters = counters
        self._deaths_s = {}
        self._followed_s = 0.0
        self._gone = set()
        self._member = None
        self._version = 0
        self.conn = None

    def follow(self, member, *, version):
        """Watch a process.

        :param member: A :class:`radishlanding.membership.Member`.
        :param version: Version of the leader's key that names it; a process
            that leads anew counts as there again.
        """
        if (member, version) != (self._member, self._version):
            self._member = member
            self._version = version
            self._followed_s = boot_clock_s()
            self._changed.set()
            self._changed = trio.Event()

    async def notify(self, message):
        """Send a notice to the process that is watched, if it is there."""
        if self.conn is not None:
            await self.conn.notify(message)

    def is_gone(self, member, *, version):
        """Return whether it is proved that a process leads no more."""
        return (member.process_id, version) in self._gone

    def grants_ended_s(self, process_id, *, grace_s):
        """Return since when no leader up to a process extends leases.

        One that has died extends none, and the one before it none after its
        grace; leaving the lead is no death.

        :param process_id: The process that led last.
        :param grace_s: How long a leader extends leases after its last
            proof that it leads, in seconds.
        :returns: Seconds of the boot clock; None without a proof.
        """
        if process_id not in self._deaths_s:
            return None
        followed_s, died_s = self._deaths_s[process_id]
        return max(died_s, followed_s + grace_s)

    async def run(self):
        """Watch until cancelled."""
        while True:
            if self._member is None or self._is_current_gone():
                await self._changed.wait()
            member = self._member
            try:
                await self._monitor(member)
            except ConnectionLost as exc:
                if exc.was_refused:
                    self._mark_gone(member, "nobody listens")
                    await self._confirm_death(member)
            except CallRefused as exc:
                _log.info("probe_refused", reason=exc)
            await trio.sleep(REDIAL_DELAY_S)

    def _is_current_gone(self):
        return self.is_gone(self._member, version=self._version)

    async def _confirm_death(self, member):
        """Dial once more; a single refusal may be a reset on its way."""
        await trio.sleep(CONFIRM_DELAY_S)
        try:
            stream = await dial(address=member.address)
        except ConnectionLost as exc:
            if exc.was_refused:
                self._record_death(member)
        else:
            await trio.aclose_forcefully(stream)

    def _record_death(self, member):
        if member == self._member:
            self._deaths_s[member.process_id] = (
                self._followed_s,
                boot_clock_s(),
            )

    def _mark_gone(self, member, reason):
        self._gone.add((member.process_id, self._version))
        _log.info("process_gone", process=member.process_id, reason=reason)

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
                await conn.wait_lost()
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
        names = [summary.process_id for summary in answer.processes]
        if member.process_id not in names:
            self._record_death(member)
            self._mark_gone(member, f"its address is {','.join(names)}'s")
            conn.abort()
        else:
            self.conn = conn

    async def _abort_on_change(self, conn, member):
        """End the connection when another process is watched."""
        while self._member == member:
            await self._changed.wait()
        conn.abort()

    async def handle(self, message, conn):
        """Take the leader's word that it has lost the store."""
        if isinstance(message, LeaderAway):
            if self._member and message.process_id == self._member.process_id:
                self._mark_gone(self._member, "it has lost the store")
            return Accepted()
        if isinstance(message, LeaderNotice):
            return Accepted()
        raise CallRefused(f"unexpected {type(message).__name__}")

    def lost(self, conn):
        """Do nothing; the leader is dialled again."""
