"""Handler for the messages of agents and other dispatchers."""

from radishlanding.dispatcher.leader_client import handle_locally
from radishlanding.message import Accepted
from radishlanding.message import GetStatus
from radishlanding.message import LeaderNotice
from radishlanding.message import ProcessSummary
from radishlanding.message import StatusAnswer
from radishlanding.message import VmHello
from radishlanding.message import VmReport
from radishlanding.message import VmWelcome
from radishlanding.peer import CallRefused
from radishlanding.vm import boot_clock_s


class DispatcherHandler:
    """Pass messages to the leader if it runs in this process."""

    __slots__ = ("_candidate", "_member", "_site_watch")

    def __init__(self, *, member, site_watch):
        """Prepare; :meth:`set_candidate` must be called before use.

        :param member: This process, a
            :class:`radishlanding.membership.Member`.
        :param site_watch: A :class:`radishlanding.dispatch.SiteWatch`.
        """
        self._candidate = None
        self._member = member
        self._site_watch = site_watch

    def set_candidate(self, candidate):
        """Set the :class:`radishlanding.dispatch.Candidate`."""
        self._candidate = candidate

    def disconnected(self, conn):
        """Drop the VM sessions of a lost connection."""
        if self._candidate.leader is not None:
            self._candidate.leader.drop(conn)

    async def handle(self, message, conn):
        """Handle a message of an agent or a dispatcher.

        :param message: A message of :mod:`radishlanding.message`.
        :param conn: The connection that it arrived on.
        :returns: The reply.
        :raises radishlanding.peer.CallRefused: This process does not lead,
            or the message is not expected.
        """
        if isinstance(message, GetStatus):
            return self._status()
        if isinstance(message, LeaderNotice):
            self._candidate.follow(message)
            return Accepted()
        leader = self._candidate.leader
        if leader is None:
            if isinstance(message, VmHello):
                return self._redirect(message)
            raise CallRefused("not the leader")
        if isinstance(message, VmHello):
            if message.epoch > leader.epoch:
                raise CallRefused("the VM has followed a newer leader")
            return leader.hello(message, conn)
        if isinstance(message, VmReport):
            return await self._report(leader, message, conn)
        return await handle_locally(leader, message)

    async def _report(self, leader, report, conn):
        arrived_s = boot_clock_s()
        session = leader.fleet.find(report.vm, conn)
        if session is not None and not session.reads_proof_age:
            await leader.prove_leadership()
            session = leader.fleet.find(report.vm, conn)
        if session is None or self._candidate.leader is not leader:
            raise CallRefused("no hello from this VM on this connection")
        return leader.report(session, report, arrived_s=arrived_s)

    def _redirect(self, hello):
        """Return the reply to a VM that has to follow another process.

        :raises CallRefused: The VM still follows this process, and has to be
            told in a way that earlier agents understand.
        """
        if hello.epoch and hello.epoch == self._candidate.led_epoch:
            raise CallRefused("no longer the leader")
        leader = self._candidate.known_leader
        return VmWelcome(
            accepted=False,
            epoch=0,
            fence=0,
            leader="" if leader == self._member.address else leader,
        )

    def _status(self):
        leader = self._candidate.leader
        return StatusAnswer(
            processes=[
                ProcessSummary(
                    kind=self._member.kind,
                    process_id=self._member.process_id,
                    zone=self._member.zone,
                    revision=self._site_watch.site.version,
                    detail=f"epoch={leader.epoch if leader else 0}",
                )
            ]
        )
