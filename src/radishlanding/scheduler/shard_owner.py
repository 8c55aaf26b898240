"""Scheduling of one shard while this process owns it."""

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
from radishlanding.scheduler.quarantine_registry import QuarantineRegistry
from radishlanding.scheduler.status_reconciler import StatusReconciler
from radishlanding.scheduler.vm_loss_detector import VmLossDetector
from radishlanding.shard import GroupCommit
from radishlanding.store import CorruptRecord
from radishlanding.store import StoreUnavailable
from radishlanding.vm import boot_clock_s

CONFIRM_INTERVAL_S = 0.5
MAX_CONFIRMATION_AGE_S = 3.0

_log = EventLog("radishlanding.scheduler")


class ShardOwner:
    """Schedule the tasks of one shard on the VMs of that shard.

    Its components (planner, placer, evictor and so on) read and update its
    public attributes, among them:

    - ``sessions``: the :class:`AgentSession` of each connected agent, by VM;
    - ``last_statuses``: the newest task statuses of each VM, kept when its
      agent disconnects;
    - ``lease_granted_s``: boot clock at which the lease of each VM was last
      extended, in seconds;
    - ``starting``: the tasks whose assignment is being recorded or started;
    - ``preempted``: the epoch of each task to evict for an urgent one.
    """

    __slots__ = (
        "_cancel_scope",
        "_owned_since_s",
        "_reconciler",
        "_timing",
        "cfg_watch",
        "commit",
        "counters",
        "journal",
        "last_statuses",
        "lease_granted_s",
        "placement_requested",
        "preempted",
        "quarantines",
        "sessions",
        "shard",
        "starting",
        "state",
    )

    def __init__(self, *, shard, journal, state, cfg_watch, timing, counters):
        """Create the owner of an open journal; :meth:`run` schedules.

        :param shard: Number of the shard.
        :param journal: An open :class:`radishlanding.journal.Journal`.
        :param state: The :class:`radishlanding.shard.ShardState` read from it.
        :param cfg_watch: A :class:`radishlanding.config.ConfigWatch`.
        :param timing: A :class:`radishlanding.vm.LeaseTiming`.
        :param counters: Counters of the process.
        """
        self._owned_since_s = boot_clock_s()
        self._cancel_scope = trio.CancelScope()
        self._timing = timing
        self.lease_granted_s = {}
        self.cfg_watch = cfg_watch
        self.commit = GroupCommit(
            journal=journal, state=state, counters=counters
        )
        self.counters = counters
        self.journal = journal
        self.preempted = {}
        self.quarantines = QuarantineRegistry()
        self.last_statuses = {}
        self.sessions = {}
        self.shard = shard
        self.starting = set()
        self.state = state
        self.placement_requested = trio.Event()
        self._reconciler = StatusReconciler(owner=self)

    @property
    def epoch(self):
        """Return the epoch of this ownership."""
        return self.journal.owner_epoch

    async def run(self):
        """Schedule until another process owns the shard or :meth:`resign`.

        Connections to agents are aborted at the end, so that the agents look
        for the new owner.
        """
        planner = PlacementPlanner(
            owner=self, placement=SpreadPlacement(), preemption=Preemption()
        )
        placer = Placer(owner=self, planner=planner)
        try:
            with self._cancel_scope:
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(self.commit.run)
                    nursery.start_soon(self._confirm)
                    nursery.start_soon(placer.run)
                    nursery.start_soon(Evictor(owner=self).run)
                    nursery.start_soon(
                        VmLossDetector(
                            owner=self,
                            timing=self._timing,
                            owned_since_s=self._owned_since_s,
                        ).run
                    )
                    nursery.start_soon(self._reconciler.run)
        except* (Fenced, CorruptRecord) as group:
            _log.warning(
                "shard_left", shard=self.shard, reason=group.exceptions[0]
            )
        finally:
            for session in list(self.sessions.values()):
                session.conn.abort()

    async def _confirm(self):
        """Confirm the ownership periodically."""
        while True:
            await trio.sleep(CONFIRM_INTERVAL_S * random.uniform(0.8, 1.0))
            try:
                await self.commit.confirm()
            except StoreUnavailable as exc:
                _log.debug("unconfirmed", shard=self.shard, reason=exc)

    def resign(self):
        """Stop owning the shard."""
        self._cancel_scope.cancel()

    def request_placement(self):
        """Wake the placer."""
        self.placement_requested.set()

    def can_extend_leases(self):
        """Return whether VM leases may be extended.

        They may for ``owner_grace_s`` after the last confirmation.
        """
        age_s = boot_clock_s() - self.journal.confirmed_s
        return age_s < self._timing.owner_grace_s

    def is_confirmed(self):
        """Return whether the store confirmed the ownership recently."""
        age_s = boot_clock_s() - self.journal.confirmed_s
        return age_s < MAX_CONFIRMATION_AGE_S

    def accept(self, hello, conn):
        """Open a session for an agent.

        :param hello: A :class:`radishlanding.message.AgentHello`.
        :param conn: Connection of the agent.
        :returns: An empty string, or why the agent is refused.
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

    def remove_session(self, session):
        """Remove a session whose connection is closed."""
        if self.sessions.get(session.vm) is session:
            del self.sessions[session.vm]
            _log.info("agent_gone", vm=session.vm, agent=session.incarnation)

    def heartbeat(self, session, beat):
        """Process a heartbeat, unless it is older than the last one.

        :param session: The :class:`AgentSession` of the sender.
        :param beat: A :class:`radishlanding.message.Heartbeat`.
        :returns: A :class:`radishlanding.message.HeartbeatAck`.
        """
        if beat.clock_ms >= session.clock_ms:
            session.clock_ms = beat.clock_ms
            session.revision = beat.revision
            session.reserved = beat.reserved
            session.statuses = {item.task_id: item for item in beat.tasks}
            self.last_statuses[session.vm] = session.statuses
            self._reconciler.reconcile(session)
        granted = self.can_extend_leases()
        if granted:
            self.lease_granted_s[session.vm] = boot_clock_s()
        settled, unwanted = self._classify_unassigned(session)
        return HeartbeatAck(
            owner_epoch=self.epoch,
            confirmed=self.is_confirmed(),
            granted=granted,
            settled=settled,
            unwanted=unwanted,
        )

    def _classify_unassigned(self, session):
        """Classify the reported tasks that are not assigned to the VM.

        An end that is yet to be recorded is in neither class.

        :returns: Keys of ended tasks, whose end is on record, and keys of
            running tasks, which must stop.
        """
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
            if self._reconciler.late_transition(status) is not None:
                continue
            key = TaskKey(task_id=status.task_id, epoch=status.epoch)
            if status.phase.has_ended:
                settled.append(key)
            else:
                unwanted.append(key)
        return settled, unwanted
