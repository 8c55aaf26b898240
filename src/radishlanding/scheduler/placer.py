"""Places queued tasks on VMs and starts them."""

import collections
import random

import trio

from radishlanding.message import StartTask
from radishlanding.observe import EventLog
from radishlanding.peer import CallRefused
from radishlanding.peer import ConnectionLost
from radishlanding.policy import FairQueue
from radishlanding.policy import VmView
from radishlanding.scheduler import transitions
from radishlanding.shard import Change
from radishlanding.store import StoreUnavailable
from radishlanding.task import TaskState
from radishlanding.vm import boot_clock_s
from radishlanding.vm import Capacity

IDLE_PAUSE_S = 0.5
RETRY_PAUSE_S = 0.3
START_TIMEOUT_S = 3.0
SHUN_S = 2.0
MAX_TASKS_PER_ROUND = 1000

_log = EventLog("radishlanding.scheduler")


class Placer:
    """Assign queued tasks, record that, and only then start them."""

    __slots__ = ("_owner", "_placement", "_preemption")

    def __init__(self, *, owner, placement, preemption):
        """Prepare; :meth:`run` places.

        :param owner: A :class:`ShardOwner`.
        :param placement: A :class:`radishlanding.policy.Placement`.
        :param preemption: A :class:`radishlanding.policy.Preemption`.
        """
        self._owner = owner
        self._placement = placement
        self._preemption = preemption

    async def run(self):
        """Place tasks whenever something has changed."""
        async with trio.open_nursery() as nursery:
            while True:
                with trio.move_on_after(IDLE_PAUSE_S):
                    await self._owner.wake.wait()
                self._owner.wake = trio.Event()
                if self._owner.is_confirmed():
                    await self._round(nursery)

    async def _round(self, nursery):
        pairs = self._plan()
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

    def _plan(self):
        """Return pairs of a task and the session of its VM."""
        state = self._owner.state
        queues = list(state.queues())
        if not queues:
            return []
        self._forget_preempted()
        views = self._views()
        queue = self._fair_queue(queues)
        pairs = []
        full_jobs = set()
        for _ in range(MAX_TASKS_PER_ROUND):
            item = queue.take()
            if item is None:
                return pairs
            task, job = item
            if job.job_id in full_jobs:
                continue
            allowed = self._allowed(task, job, views.values())
            view = self._placement.choose(
                job, [view for view in allowed if view.free.holds(job.needs)]
            )
            if view is None:
                if not self._make_room(job, allowed):
                    full_jobs.add(job.job_id)
                continue
            view.free = view.free - job.needs
            view.tasks_by_job[job.job_id] = (
                view.tasks_by_job.get(job.job_id, 0) + 1
            )
            queue.use(job)
            pairs.append((task, self._owner.sessions[view.vm]))
        return pairs

    def _forget_preempted(self):
        """Forget preempted tasks that have left their VM."""
        tasks = self._owner.state.tasks
        self._owner.preempted = {
            task_id: epoch
            for task_id, epoch in self._owner.preempted.items()
            if task_id in tasks
            and tasks[task_id].epoch == epoch
            and tasks[task_id].state.is_on_vm
        }

    def _fair_queue(self, queues):
        state = self._owner.state
        document = self._owner.cfg_watch.document
        quotas = {
            name: Capacity(
                millicores=round(item.processors * 1000) // document.shards,
                memory_mb=item.memory_mb // document.shards,
                accelerators=-(-item.accelerators // document.shards),
            )
            for name, item in document.organisations.items()
        }
        queue = FairQueue(quotas=quotas)
        for vm in state.busy_vms():
            for task in state.tasks_on(vm):
                queue.use(state.jobs[task.job_id])
        for is_urgent, organisation, items in queues:
            queue.add(
                is_urgent=is_urgent, organisation=organisation, items=items
            )
        return queue

    def _views(self):
        """Return a view of each VM that may take tasks."""
        zones = self._owner.cfg_watch.document.zones
        now_s = boot_clock_s()
        return {
            session.vm: self._view(session)
            for session in self._owner.sessions.values()
            if session.shunned_until_s < now_s
            and session.zone in zones
            and zones[session.zone].in_service
        }

    def _view(self, session):
        state = self._owner.state
        view = VmView(
            vm=session.vm,
            zone=session.zone,
            rack=session.rack,
            capacity=session.capacity,
            free=session.capacity - session.reserved,
            tasks_by_job=collections.Counter(),
        )
        for task in state.tasks_on(session.vm):
            job = state.jobs[task.job_id]
            view.free = view.free - job.needs
            view.tasks_by_job[task.job_id] += 1
            if self._owner.preempted.get(task.task_id) == task.epoch:
                view.draining = view.draining + job.needs
            elif not job.is_urgent and task.state == TaskState.ASSIGNED:
                view.evictable[task.task_id] = job.needs
        return view

    def _make_room(self, job, allowed):
        """Evict tasks for an urgent job; return whether there will be room."""
        if not job.is_urgent:
            return False
        victims = self._preemption.make_room(job, allowed)
        if victims is None:
            return False
        for task_id in victims:
            task = self._owner.state.tasks[task_id]
            self._owner.preempted[task_id] = task.epoch
            self._owner.counters.add("tasks_preempted")
            _log.info("task_preempted", task=task_id, vm=task.vm)
        return True

    def _allowed(self, task, job, views):
        """Return the VMs that may run a task, with room or without."""
        allowed = []
        for view in views:
            running = sum(view.tasks_by_job.values())
            room = self._owner.quarantines.room(view.vm, running=running)
            if (
                view.zone in job.zones
                and view.vm not in task.failed_vms
                and view.capacity.holds(job.needs)
                and room != 0
            ):
                allowed.append(view)
        return allowed

    async def _start_all(self, pairs, nursery):
        """Start recorded assignments under a confirmed configuration.

        The agents' clocks are taken before the configuration is read: a
        start is valid only for a short time of the agent's clock, so that
        it cannot take effect long after the configuration has changed.
        """
        while True:
            echoes = {session.vm: session.clock_ms for _, session in pairs}
            try:
                revision = await self._owner.cfg_watch.refresh()
                break
            except StoreUnavailable as exc:
                _log.warning("start_waits", reason=exc)
                await trio.sleep(RETRY_PAUSE_S * random.uniform(0.5, 1.0))
        zones = self._owner.cfg_watch.document.zones
        for task, session in pairs:
            if zones[session.zone].in_service:
                nursery.start_soon(
                    self._start, task, session, echoes[session.vm], revision
                )
            else:
                nursery.start_soon(self._put_back, task, "zone is out")

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
            # The agent's reports will tell whether it took the start.
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
        session.shunned_until_s = boot_clock_s() + SHUN_S
        await self._put_back(task, answer.reason)

    async def _put_back(self, task, reason):
        """Queue a task again whose start was refused or never sent."""
        change = Change(
            transitions=[transitions.never_ran(task, reason=reason)]
        )
        try:
            await self._owner.commit.submit(change)
        finally:
            self._owner.starting.discard(task.task_id)
        self._owner.notify()
