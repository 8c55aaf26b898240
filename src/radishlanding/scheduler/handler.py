"""Dispatches the messages of agents and entries."""

from radishlanding import message as messages
from radishlanding.peer import CallRefused
from radishlanding.peer import ConnectionLost
from radishlanding.request import Outcome
from radishlanding.scheduler.claim_handler import ClaimHandler
from radishlanding.scheduler.job_handler import JobHandler
from radishlanding.scheduler.site_directory import SiteDirectory
from radishlanding.shard import shard_of

# Added to the timeout that the relayed message itself carries.
RELAY_MARGIN_S = 1.0


class SchedulerHandler:
    """Route each message to the owner of its shard."""

    __slots__ = (
        "_cfg_watch",
        "_directory",
        "_entries",
        "_identity",
        "_member_watch",
        "_sessions",
        "_supervisors",
    )

    def __init__(self, *, identity, cfg_watch, member_watch, supervisors):
        """Create a handler without connections.

        :param identity: Pair of process identity and availability zone.
        :param cfg_watch: A :class:`radishlanding.config.ConfigWatch`.
        :param member_watch: A :class:`radishlanding.membership.MemberWatch`.
        :param supervisors: Callable that returns the
            :class:`ShardSupervisor` objects by shard.
        """
        self._identity = identity
        self._cfg_watch = cfg_watch
        self._directory = SiteDirectory(
            cfg_watch=cfg_watch, member_watch=member_watch
        )
        self._member_watch = member_watch
        self._supervisors = supervisors
        self._sessions = {}
        self._entries = {}

    def disconnected(self, conn):
        """Remove the agent or entry of a closed connection."""
        self._entries.pop(conn, None)
        owner, session = self._sessions.pop(conn, (None, None))
        if session is not None:
            owner.remove_session(session)

    async def handle(self, message, conn):
        """Handle a message of an agent or an entry.

        :raises CallRefused: The message cannot be handled here.
        """
        match message:
            case messages.Heartbeat():
                return await self._heartbeat(message, conn)
            case messages.AgentHello():
                return await self._accept_agent(message, conn)
            case messages.EntryHello():
                self._entries[conn] = message
                return self.owner_report()
            case messages.ClaimRequest():
                return await ClaimHandler(
                    owner=self._owner(message.key)
                ).claim(message)
            case messages.RelayAsk():
                return await self._relay(message)
            case messages.SubmitJob():
                return await self._job_handler(message.job_id).submit(message)
            case messages.ListJobs():
                return self._list(message)
            case messages.CancelJob():
                return await self._job_handler(message.job_id).cancel(
                    message.job_id
                )
            case messages.DecideTask():
                job_id = message.task_id.rpartition("/")[0]
                return await self._job_handler(job_id).decide(
                    message.task_id, again=message.again
                )
            case messages.GetStatus():
                return self._status()
        raise CallRefused(f"unexpected {type(message).__name__}")

    def _owner(self, name):
        """Return the owner of the shard that a name belongs to.

        :param name: A VM, job or request key.
        :raises CallRefused: This process does not own the shard.
        """
        shard = shard_of(name, shards=self._cfg_watch.document.shards)
        supervisor = self._supervisors().get(shard)
        if supervisor is None or supervisor.owner is None:
            raise CallRefused("not the owner")
        return supervisor.owner

    def _job_handler(self, job_id):
        return JobHandler(owner=self._owner(job_id))

    def _owners(self):
        supervisors = self._supervisors().values()
        return [
            supervisor.owner
            for supervisor in supervisors
            if supervisor.owner is not None
        ]

    def _list(self, message):
        if message.job_id:
            return self._job_handler(message.job_id).find(message.job_id)
        answer = messages.JobAnswer(outcome=Outcome.DONE, reason="", jobs=[])
        for owner in self._owners():
            answer.jobs += JobHandler(owner=owner).find("").jobs
        return answer

    async def _accept_agent(self, hello, conn):
        shard = shard_of(hello.vm, shards=self._cfg_watch.document.shards)
        supervisor = self._supervisors().get(shard)
        if supervisor is None or supervisor.owner is None:
            other = self._member_watch.owners.get(shard)
            return messages.HelloAnswer(
                accepted=False,
                reason="not the owner",
                owner_epoch=0,
                address=other.address if other else "",
            )
        owner = supervisor.owner
        if hello.owner_epoch > owner.epoch:
            supervisor.reopen_above(hello.owner_epoch)
            raise CallRefused(
                "the agent followed an owner with a higher epoch"
            )
        reason = owner.accept(hello, conn)
        if not reason:
            self._sessions[conn] = (owner, owner.sessions[hello.vm])
        return messages.HelloAnswer(
            accepted=not reason,
            reason=reason,
            owner_epoch=owner.epoch,
            address="",
        )

    async def _heartbeat(self, beat, conn):
        owner, session = self._sessions.get(conn, (None, None))
        if session is None or owner.sessions.get(session.vm) is not session:
            raise CallRefused("no accepted agent on this connection")
        ack = owner.heartbeat(session, beat)
        if self._directory.is_outdated(beat):
            await conn.notify(self._directory.current())
        return ack

    async def _relay(self, message):
        session = self._owner(message.vm).sessions.get(message.vm)
        if session is None:
            raise CallRefused(f"no agent of {message.vm} is connected here")
        timeout_s = message.ask.timeout_ms / 1000 + RELAY_MARGIN_S
        try:
            return await session.conn.call(message.ask, timeout_s=timeout_s)
        except ConnectionLost as exc:
            raise CallRefused(str(exc))

    async def push_directory(self):
        """Send the current directory to every agent."""
        for conn in list(self._sessions):
            await conn.notify(self._directory.current())

    def owner_report(self):
        """Return the shards that this process owns."""
        return messages.OwnerReport(
            owners=[
                messages.OwnedShard(shard=owner.shard, owner_epoch=owner.epoch)
                for owner in self._owners()
            ],
        )

    async def push_owners(self):
        """Send the shards that this process owns to every entry."""
        for conn in list(self._entries):
            await conn.notify(self.owner_report())

    def _status(self):
        process_id, zone = self._identity
        processes = [
            messages.ProcessSummary(
                kind="scheduler",
                process_id=process_id,
                zone=zone,
                revision=self._cfg_watch.document.revision,
                detail=f"shards={len(self._owners())}",
            )
        ]
        processes += [
            messages.ProcessSummary(
                kind="entry",
                process_id=hello.entry_id,
                zone=hello.zone,
                revision=hello.revision,
            )
            for hello in self._entries.values()
        ]
        for owner in self._owners():
            processes += [
                _agent_summary(owner, session)
                for session in owner.sessions.values()
            ]
        return messages.StatusAnswer(processes=processes)


def _agent_summary(owner, session):
    phases = [str(status.phase) for status in session.statuses.values()]
    return messages.ProcessSummary(
        kind="agent",
        process_id=session.incarnation,
        zone=session.zone,
        revision=session.revision,
        detail=f"vm={session.vm} shard={owner.shard} "
        f"running={phases.count('running')}",
    )
