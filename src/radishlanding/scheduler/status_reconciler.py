"""Reconciles the reports of agents with the recorded state."""

import trio

from radishlanding.observe import EventLog
from radishlanding.scheduler import transitions
from radishlanding.shard import Change
from radishlanding.task import TaskPhase

# Exceeds the 2 s for which agents accept a start, so that a task that is
# absent for longer cannot start any more.
ABSENCE_TIMEOUT_MS = 4000
MAX_QUEUED_CHANGES = 10_000

_log = EventLog("radishlanding.scheduler")


class StatusReconciler:
    """Record the changes that agents report of their assignments."""

    __slots__ = ("_in_flight", "_owner", "_receive_channel", "_send_channel")

    def __init__(self, *, owner):
        """Create a reconciler; :meth:`run` records the changes.

        :param owner: The :class:`ShardOwner` of the shard.
        """
        self._owner = owner
        self._in_flight = set()
        self._send_channel, self._receive_channel = trio.open_memory_channel(
            MAX_QUEUED_CHANGES
        )

    async def run(self):
        """Record the queued changes, until cancelled."""
        async with trio.open_nursery() as nursery:
            async for transition, vm, phase in self._receive_channel:
                nursery.start_soon(self._record, transition, vm, phase)

    async def _record(self, transition, vm, phase):
        try:
            recorded = await self._owner.commit.submit(
                Change(transitions=[transition])
            )
        finally:
            self._in_flight.discard(transition.task_id)
        if not recorded:
            return
        if phase == TaskPhase.FAILED:
            self._owner.quarantines.record_failure(vm, transition.task_id)
        elif phase == TaskPhase.DONE:
            self._owner.quarantines.record_success(vm)
        _log.info(
            "task_changed",
            task=transition.task_id,
            epoch=transition.epoch,
            state=transition.to_state,
            vm=vm,
            reason=transition.reason,
        )
        self._owner.request_placement()

    def reconcile(self, session):
        """Queue the changes that the newest statuses of a session imply.

        :param session: An :class:`AgentSession` after a heartbeat.
        """
        state = self._owner.state
        still_absent_ms = {}
        for task in state.tasks_on(session.vm):
            if task.task_id in self._in_flight:
                continue
            job = state.jobs[task.job_id]
            status = session.statuses.get(task.task_id)
            if status is not None and status.epoch == task.epoch:
                self._submit(
                    transitions.from_status(task, job, status),
                    session.vm,
                    status.phase,
                )
            elif task.task_id not in self._owner.starting:
                key = (task.task_id, task.epoch)
                since_ms = session.absent_since_ms.get(key, session.clock_ms)
                still_absent_ms[key] = since_ms
                if session.clock_ms - since_ms > ABSENCE_TIMEOUT_MS:
                    self._submit(
                        self._absence_transition(task, job, session),
                        session.vm,
                        None,
                    )
        session.absent_since_ms = still_absent_ms
        for status in session.statuses.values():
            if status.task_id not in self._in_flight:
                self._submit(
                    self.late_transition(status), session.vm, status.phase
                )

    def late_transition(self, status):
        """Return the transition that a status implies for a task on no VM.

        :param status: A :class:`radishlanding.message.TaskStatus`.
        :returns: A transition, or None where nothing has changed.
        """
        task = self._owner.state.tasks.get(status.task_id)
        if task is None:
            return None
        return transitions.from_late_status(task, status)

    def _absence_transition(self, task, job, session):
        """Return the transition of a task that its VM does not report."""
        if task.incarnation == session.incarnation:
            return transitions.not_started(task, reason="start was not taken")
        return transitions.interrupted(
            task, job, reason="unknown to the VM's new agent"
        )

    def _submit(self, transition, vm, phase):
        """Queue a transition; a full queue leaves it to the next heartbeat."""
        if transition is None:
            return
        try:
            self._send_channel.send_nowait((transition, vm, phase))
        except trio.WouldBlock:
            return
        self._in_flight.add(transition.task_id)
