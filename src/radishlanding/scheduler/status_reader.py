"""Turns agents' reports into recorded changes."""

import trio

from radishlanding.observe import EventLog
from radishlanding.scheduler import transitions
from radishlanding.shard import Change
from radishlanding.task import TaskPhase

# A start that its agent has not taken by then is refused there.
ABSENT_MS = 4000
MAX_WAITING_CHANGES = 10_000

_log = EventLog("radishlanding.scheduler")


class StatusReader:
    """Record what agents report of their assignments."""

    __slots__ = ("_in_flight", "_owner", "_receive", "_send")

    def __init__(self, *, owner):
        """Prepare; :meth:`run` records.

        :param owner: A :class:`ShardOwner`.
        """
        self._owner = owner
        self._in_flight = set()
        self._send, self._receive = trio.open_memory_channel(
            MAX_WAITING_CHANGES
        )

    async def run(self):
        """Record changes as they are reported."""
        async with trio.open_nursery() as nursery:
            async for transition, vm, phase in self._receive:
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
            self._owner.quarantines.failed(vm, transition.task_id)
        elif phase == TaskPhase.DONE:
            self._owner.quarantines.succeeded(vm)
        _log.info(
            "task_changed",
            task=transition.task_id,
            epoch=transition.epoch,
            state=transition.to_state,
            vm=vm,
            reason=transition.reason,
        )
        self._owner.notify()

    def read(self, session):
        """Compare a session's statuses with the state.

        :param session: An :class:`AgentSession` with fresh statuses.
        """
        state = self._owner.state
        still_absent = {}
        for task in state.tasks_on(session.vm):
            if task.task_id in self._in_flight:
                continue
            job = state.jobs[task.job_id]
            status = session.statuses.get(task.task_id)
            if status is not None and status.epoch == task.epoch:
                self._submit(
                    transitions.reported(task, job, status),
                    session.vm,
                    status.phase,
                )
            elif task.task_id not in self._owner.starting:
                key = (task.task_id, task.epoch)
                since_ms = session.absent_since_ms.get(key, session.clock_ms)
                still_absent[key] = since_ms
                if session.clock_ms - since_ms > ABSENT_MS:
                    self._submit(
                        self._absent(task, job, session), session.vm, None
                    )
        session.absent_since_ms = still_absent

    def _absent(self, task, job, session):
        """Return the change of a task that its VM does not know."""
        if task.incarnation == session.incarnation:
            return transitions.never_ran(task, reason="start was not taken")
        return transitions.interrupted(
            task, job, reason="unknown to the VM's new agent"
        )

    def _submit(self, transition, vm, phase):
        if transition is None:
            return
        try:
            self._send.send_nowait((transition, vm, phase))
        except trio.WouldBlock:
            return
        self._in_flight.add(transition.task_id)
