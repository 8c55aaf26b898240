"""Records planned assignments and starts their tasks."""

import random

import trio

from radishlanding.message import StartTask
from radishlanding.observe import EventLog
from radishlanding.peer import CallRefused
from radishlanding.peer import ConnectionLost
from radishlanding.scheduler import transitions
from radishlanding.shard import Change
from radishlanding.store import StoreUnavailable
from radishlanding.vm import boot_clock_s

MAX_IDLE_S = 0.5
RETRY_DELAY_S = 0.3
START_TIMEOUT_S = 3.0
REFUSAL_BACKOFF_S = 2.0

_log = EventLog("radishlanding.scheduler")


class Placer:
    """Assign queued tasks and start them once the assignment is recorded."""

    __slots__ = ("_owner", "_planner")

    def __init__(self, *, owner, planner):
        """Create a placer; :meth:`run` places tasks.

        :param owner: The :class:`ShardOwner` of the shard.
        :param planner: A :class:`PlacementPlanner`.
        """
        self._owner = owner
        self._planner = planner

    async def run(self):
        """Place tasks on request, and at least every MAX_IDLE_S."""
        async with trio.open_nursery() as nursery:
            while True:
                with trio.move_on_after(MAX_IDLE_S):
                    await self._owner.placement_requested.wait()
                self._owner.placement_requested = trio.Event()
                if self._owner.is_confirmed():
                    await self._place(nursery)

    async def _place(self, nursery):
        """Plan, record and start one round of assignments."""
        pairs = self._planner.plan()
        if not pairs:
            return
        for task, _ in pairs:
            self._owner.starting.add(task.task_id)
        changes = [
            Change(
                transitions=[
                    transitions.assign(
                        task, vm=session.vm, incarnation=session.incarnation
                    )
                ]
            )
            for task, session in pairs
        ]
        recorded = await self._owner.commit.submit_all(changes)
        started = []
        for pair, was_recorded in zip(pairs, recorded, strict=True):
            if was_recorded:
                started.append(pair)
            else:
                self._owner.starting.discard(pair[0].task_id)
        if started:
            await self._start_all(started, nursery)

    async def _start_all(self, pairs, nursery):
        """Start recorded assignments under a confirmed configuration.

        The agents' clocks are captured before the configuration is read. An
        agent rejects a start whose clock echo is too old, so that no start
        takes effect long after the configuration has changed.
        """
        while True:
            clock_echoes_ms = {
                session.vm: session.clock_ms for _, session in pairs
            }
            try:
                revision = await self._owner.cfg_watch.refresh()
                break
            except StoreUnavailable as exc:
                _log.warning("start_deferred", reason=exc)
                await trio.sleep(RETRY_DELAY_S * random.uniform(0.5, 1.0))
        zones = self._owner.cfg_watch.document.zones
        for task, session in pairs:
            if zones[session.zone].in_service:
                nursery.start_soon(
                    self._start,
                    task,
                    session,
                    clock_echoes_ms[session.vm],
                    revision,
                )
            else:
                nursery.start_soon(self._requeue, task, "zone is out")

    async def _start(self, task, session, clock_echo_ms, revision):
        job = self._owner.state.jobs[task.job_id]
        start = StartTask(
            task_id=task.task_id,
            epoch=task.epoch,
            owner_epoch=self._owner.epoch,
            incarnation=session.incarnation,
            clock_echo_ms=clock_echo_ms,
            revision=revision,
            needs=job.needs,
            checkpoint=task.checkpoint,
            organisation=job.organisation,
            template=job.template,
            parameters=job.parameters,
            checkpoint_every_s=job.checkpoint_every_s,
        )
        try:
            answer = await session.conn.call(start, timeout_s=START_TIMEOUT_S)
        except (ConnectionLost, CallRefused) as exc:
            # The next heartbeats show whether the agent took the start.
            _log.info("start_unanswered", task=task.task_id, reason=exc)
            self._owner.starting.discard(task.task_id)
            return
        if answer.accepted:
            self._owner.counters.add("tasks_started")
            self._owner.starting.discard(task.task_id)
            return
        _log.info(
            "start_refused",
            task=task.task_id,
            vm=session.vm,
            reason=answer.reason,
        )
        session.backoff_until_s = boot_clock_s() + REFUSAL_BACKOFF_S
        await self._requeue(task, answer.reason)

    async def _requeue(self, task, reason):
        """Requeue a task whose start was refused or not sent."""
        change = Change(
            transitions=[transitions.not_started(task, reason=reason)]
        )
        try:
            await self._owner.commit.submit(change)
        finally:
            self._owner.starting.discard(task.task_id)
        self._owner.request_placement()
