"""Handles the messages of agents and entries."""

from radishlanding import message as messages
from radishlanding.peer import CallRefused
from radishlanding.peer import ConnectionLost
from radishlanding.request import Outcome
from radishlanding.scheduler.claim_desk import ClaimDesk
from radishlanding.scheduler.job_desk import JobDesk
from radishlanding.shard import shard_of

RELAY_SLACK_S = 1.0


class SchedulerHandler:
    """Pass each message to the owner of its shard."""

    __slots__ = (
        "_cfg_watch",
        "_entries",
        "_identity",
        "_members",
        "_seats",
        "_sessions",
    )

    def __init__(self, *, identity, cfg_watch, members, seats):
        """Prepare the handler.

        :param identity: Pair of process identity and availability zone.
        :param cfg_watch: A :class:`radishlanding.config.ConfigWatch`.
        :param members: A :class:`radishlanding.membership.MemberWatch`.
        :param seats: Callable that returns the seats by shard.
        """
        self._identity = identity
        self._cfg_watch = cfg_watch
        self._members = members
        self._seats = seats
        self._sessions = {}
        self._entries = {}

    def lost(self, conn):
        """Forget who was on a connection."""
        self._entries.pop(conn, None)
        owner, session = self._sessions.pop(conn, (None, None))
        if session is not None:
            owner.drop(session)

    async def handle(self, message, conn):
        """Handle a message of an agent or an entry."""
        match message:
            case messages.Heartbeat():
                return await self._heartbeat(message, conn)
            case messages.AgentHello():
                return await self._hello(message, conn)
            case messages.EntryHello():
                self._entries[conn] = message
                return self.owner_report()
            case messages.ClaimRequest():
                return await ClaimDesk(owner=self._owner(message.key)).claim(
                    message
                )
            case messages.RelayAsk():
                return await self._relay(message)
            case messages.SubmitJob():
                return await self._desk(message.job_id).submit(message)
            case messages.ListJobs():
                return self._list(message)
            case messages.CancelJob():
                return await self._desk(message.job_id).cancel(message.job_id)
            case messages.DecideTask():
                job_id = message.task_id.rpartition("/")[0]
                return await self._desk(job_id).decide(
                    message.task_id, again=message.again
                )
            case messages.GetStatus():
                return self._status()
        raise CallRefused(f"unexpected {type(message).__name__}")

    def _owner(self, name):
        """Return the owner of the shard of a job or request key."""
        shard = shard_of(name, shards=self._cfg_watch.document.shards)
        seat = self._seats().get(shard)
        if seat is None or seat.owner is None:
            raise CallRefused("not the owner")
        return seat.owner

    def _desk(self, job_id):
        return JobDesk(owner=self._owner(job_id))

    def _owners(self):
        seats = self._seats().values()
        return [seat.owner for seat in seats if seat.owner is not None]

    def _list(self, message):
        if message.job_id:
            return self._desk(message.job_id).find(message.job_id)
        answer = messages.JobAnswer(outcome=Outcome.DONE, reason="", jobs=[])
        for owner in self._owners():
            answer.jobs += JobDesk(owner=owner).find("").jobs
        return answer

    async def _hello(self, hello, conn):
        shard = shard_of(hello.vm, shards=self._cfg_watch.document.shards)
        seat = self._seats().get(shard)
        if seat is None or seat.owner is None:
            other = self._members.owners.get(shard)
            return messages.HelloAnswer(
                accepted=False,
                reason="not the owner",
                owner_epoch=0,
                address=other.address if other else "",
            )
        owner = seat.owner
        if hello.owner_epoch > owner.epoch:
            seat.exceed(hello.owner_epoch)
            raise CallRefused("an owner with a higher epoch was followed")
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
            raise CallRefused("not accepted here")
        ack = owner.heartbeat(session, beat)
        if beat.revision < self._cfg_watch.document.revision:
            await conn.notify(self.directory())
        return ack

    async def _relay(self, message):
        session = self._owner(message.vm).sessions.get(message.vm)
        if session is None:
            raise CallRefused(f"no agent of {message.vm} is connected here")
        timeout_s = message.ask.timeout_ms / 1000 + RELAY_SLACK_S
        try:
            return await session.conn.call(message.ask, timeout_s=timeout_s)
        except ConnectionLost as exc:
            raise CallRefused(str(exc))

    def directory(self):
        """Return what agents need to know of the site."""
        document = self._cfg_watch.document
        return messages.Directory(
            revision=document.revision,
            zones_out=document.zones_out(),
            entries=self._members.addresses("entry"),
            schedulers=self._members.addresses("scheduler"),
        )

    async def push_directory(self):
        """Tell every agent the newest directory."""
        for conn in list(self._sessions):
            await conn.notify(self.directory())

    def owner_report(self):
        """Return which shards this process owns."""
        return messages.OwnerReport(
            owners=[
                messages.OwnedShard(shard=owner.shard, owner_epoch=owner.epoch)
                for owner in self._owners()
            ],
        )

    async def push_owners(self):
        """Tell every entry which shards this process owns."""
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
