"""The owner of one shard."""

import random

import trio

from radishlanding.journal import Fenced
from radishlanding.message import HeartbeatAck
from radishlanding.message import TaskKey
from radishlanding.observe import EventLog
from radishlanding.policy import Preemption
from radishlanding.policy import SpreadPlacement
from radishlanding.scheduler.agent_session import AgentSession
from radishlanding.scheduler.evictor import Evictor
from radishlanding.scheduler.placement_planner import PlacementPlanner
from radishlanding.scheduler.placer import Placer
from radishlanding.scheduler.quarantines import Quarantines
from radishlanding.scheduler.status_reader import StatusReader
from radishlanding.scheduler.vm_watch import VmWatch
from radishlanding.shard import GroupCommit
from radishlanding.store import CorruptRecord
from radishlanding.store import StoreUnavailable
from radishlanding.vm import boot_clock_s

CONFIRM_PAUSE_S = 0.5
CONFIRMED_LATELY_S = 3.0

_log = EventLog("radishlanding.scheduler")


class ShardOwner:
    """Run the tasks of one shard on the shard's VMs."""

    __slots__ = (
        "_opened_s",
        "_reader",
        "_scope",
        "_timing",
        "acked_s",
        "cfg_watch",
        "commit",
        "counters",
        "journal",
        "preempted",
        "quarantines",
        "reports",
        "sessions",
        "shard",
        "starting",
        "state",
        "wake",
    )

    def __init__(self, *, shard, journal, state, cfg_watch, timing, counters):
        """Prepare the owner of an opened journal; :meth:`run` works.

        :param shard: Number of the shard.
        :param journal: An open :class:`radishlanding.journal.Journal`.
        :param state: The state that it was read into.
        :param cfg_watch: A :class:`radishlanding.config.ConfigWatch`.
        :param timing: A :class:`LeaseTiming`.
        :param counters: Counts of the process.
        """
        self._opened_s = boot_clock_s()
        self._scope = trio.CancelScope()
        self._timing = timing
        self.acked_s = {}
        self.cfg_watch = cfg_watch
        self.commit = GroupCommit(
            journal=journal, state=state, counters=counters
        )
        self.counters = counters
        self.journal = journal
        self.preempted = {}
        self.quarantines = Quarantines()
        self.reports = {}
        self.sessions = {}
        self.shard = shard
        self.starting = set()
        self.state = state
        self.wake = trio.Event()
        self._reader = StatusReader(owner=self)

    @property
    def epoch(self):
        """Return the epoch of this ownership."""
        return self.journal.owner_epoch

    async def run(self):
        """Work until another process owns the shard."""
        planner = PlacementPlanner(
            owner=self, placement=SpreadPlacement(), preemption=Preemption()
        )
        placer = Placer(owner=self, planner=planner)
        try:
            with self._scope:
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(self.commit.run)
                    nursery.start_soon(self._confirm)
                    nursery.start_soon(placer.run)
                    nursery.start_soon(Evictor(owner=self).run)
                    nursery.start_soon(
                        VmWatch(
                            owner=self,
                            timing=self._timing,
                            opened_s=self._opened_s,
                        ).run
                    )
                    nursery.start_soon(self._reader.run)
        except* (Fenced, CorruptRecord) as group:
            _log.warning(
                "shard_left", shard=self.shard, reason=group.exceptions[0]
            )
        finally:
            for session in list(self.sessions.values()):
                session.conn.abort()

    async def _confirm(self):
        while True:
            await trio.sleep(CONFIRM_PAUSE_S * random.uniform(0.8, 1.0))
            try:
                await self.commit.confirm()
            except StoreUnavailable as exc:
                _log.debug("unconfirmed", shard=self.shard, reason=exc)

    def leave(self):
        """Stop owning the shard."""
        self._scope.cancel()

    def notify(self):
        """Wake the placement of tasks."""
        self.wake.set()

    def may_grant(self):
        """Return whether VM leases may be extended."""
        age_s = boot_clock_s() - self.journal.confirmed_s
        return age_s < self._timing.owner_grace_s

    def is_confirmed(self):
        """Return whether the store confirmed the ownership lately."""
        age_s = boot_clock_s() - self.journal.confirmed_s
        return age_s < CONFIRMED_LATELY_S

    def accept(self, hello, conn):
        """Accept an agent, or say why not.

        :param hello: A :class:`radishlanding.message.AgentHello`.
        :param conn: Its connection.
        :returns: An empty string, or the reason.
        """
        old = self.sessions.get(hello.vm)
        if old is not None and old.conn is not conn:
            if old.incarnation != hello.incarnation:
                return f"vm is held by agent {old.incarnation}"
            old.conn.abort()
        self.sessions[hello.vm] = AgentSession(
            vm=hello.vm,
            incarnation=hello.incarnation,
            zone=hello.zone,
            rack=hello.rack,
            capacity=hello.capacity,
            conn=conn,
            clock_ms=hello.clock_ms,
            revision=hello.revision,
        )
        _log.info("agent_accepted", vm=hello.vm, agent=hello.incarnation)
        return ""

    def drop(self, session):
        """Forget a session whose connection is gone."""
        if self.sessions.get(session.vm) is session:
            del self.sessions[session.vm]
            _log.info("agent_gone", vm=session.vm, agent=session.incarnation)

    def heartbeat(self, session, beat):
        """Take in an agent's report and answer it.

        :param session: Its :class:`AgentSession`.
        :param beat: A :class:`radishlanding.message.Heartbeat`.
        :returns: A :class:`radishlanding.message.HeartbeatAck`.
        """
        if beat.clock_ms >= session.clock_ms:
            session.clock_ms = beat.clock_ms
            session.revision = beat.revision
            session.reserved = beat.reserved
            session.statuses = {item.task_id: item for item in beat.tasks}
            self.reports[session.vm] = session.statuses
            self._reader.read(session)
        granted = self.may_grant()
        if granted:
            self.acked_s[session.vm] = boot_clock_s()
        settled, unwanted = self._sort_foreign(session)
        return HeartbeatAck(
            owner_epoch=self.epoch,
            confirmed=self.is_confirmed(),
            granted=granted,
            settled=settled,
            unwanted=unwanted,
        )

    def _sort_foreign(self, session):
        """Return the reported assignments that are settled or unwanted."""
        settled, unwanted = [], []
        for status in session.statuses.values():
            task = self.state.tasks.get(status.task_id)
            if (
                task is not None
                and task.epoch == status.epoch
                and task.state.is_on_vm
                and task.vm == session.vm
            ):
                continue
            key = TaskKey(task_id=status.task_id, epoch=status.epoch)
            if status.phase.has_ended:
                settled.append(key)
            else:
                unwanted.append(key)
        return settled, unwanted
