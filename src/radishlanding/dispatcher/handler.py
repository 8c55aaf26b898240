"""Handles the messages of agents and other dispatchers."""

from radishlanding.dispatcher.leader_client import ask_leader
from radishlanding.message import Accepted
from radishlanding.message import GetStatus
from radishlanding.message import LeaderNotice
from radishlanding.message import ProcessSummary
from radishlanding.message import StatusAnswer
from radishlanding.message import VmHello
from radishlanding.message import VmReport
from radishlanding.peer import CallRefused


class DispatcherHandler:
    """Pass messages to the leader, if it is in this process."""

    __slots__ = ("_candidate", "_member", "_site_watch")

    def __init__(self, *, member, site_watch):
        """Prepare; :meth:`connect` gives it the candidate.

        :param member: This process, a
            :class:`radishlanding.membership.Member`.
        :param site_watch: A :class:`radishlanding.dispatch.SiteWatch`.
        """
        self._candidate = None
        self._member = member
        self._site_watch = site_watch

    def connect(self, candidate):
        """Use a :class:`radishlanding.dispatch.Candidate`."""
        self._candidate = candidate

    def lost(self, conn):
        """Forget the VMs of a connection."""
        if self._candidate.leader is not None:
            self._candidate.leader.drop(conn)

    async def handle(self, message, conn):
        """Handle a message of an agent or a dispatcher."""
        if isinstance(message, GetStatus):
            return self._status()
        if isinstance(message, LeaderNotice):
            self._candidate.follow(message)
            return Accepted()
        leader = self._candidate.leader
        if leader is None:
            raise CallRefused("not the leader")
        if isinstance(message, VmHello):
            if message.epoch > leader.epoch:
                raise CallRefused("a newer leader was followed")
            return leader.hello(message, conn)
        if isinstance(message, VmReport):
            session = leader.fleet.find(message.vm, conn)
            if session is None:
                raise CallRefused("not introduced here")
            return leader.report(session, message)
        return await ask_leader(leader, message)

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
