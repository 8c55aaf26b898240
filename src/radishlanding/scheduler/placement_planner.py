"""Plans which queued tasks run on which VMs."""

import collections

from radishlanding.observe import EventLog
from radishlanding.policy import FairQueue
from radishlanding.policy import VmView
from radishlanding.task import TaskState
from radishlanding.vm import boot_clock_s
from radishlanding.vm import Capacity

MAX_TASKS_PER_ROUND = 1000

_log = EventLog("radishlanding.scheduler")


class PlacementPlanner:
    """Match queued tasks with VMs, preempting tasks for urgent ones."""

    __slots__ = ("_owner", "_placement", "_preemption")

    def __init__(self, *, owner, placement, preemption):
        """Create a planner.

        :param owner: The :class:`ShardOwner` of the shard.
        :param placement: A :class:`radishlanding.policy.Placement`.
        :param preemption: A :class:`radishlanding.policy.Preemption`.
        """
        self._owner = owner
        self._placement = placement
        self._preemption = preemption

    def plan(self):
        """Return the placements to make now.

        :returns: Pairs of a queued task and the :class:`AgentSession` of the
            VM to run it on.
        """
        state = self._owner.state
        queues = list(state.queues())
        if not queues:
            return []
        self._prune_preempted()
        views = self._vm_views()
        queue = self._fair_queue(queues)
        pairs = []
        unplaceable_jobs = set()
        for _ in range(MAX_TASKS_PER_ROUND):
            item = queue.take()
            if item is None:
                return pairs
            task, job = item
            if job.job_id in unplaceable_jobs:
                continue
            eligible = self._eligible_views(task, job, views.values())
            view = self._placement.choose(
                job, [view for view in eligible if view.free.holds(job.needs)]
            )
            if view is None:
                if not self._preempt_for(job, eligible):
                    unplaceable_jobs.add(job.job_id)
                continue
            view.free = view.free - job.needs
            view.tasks_by_job[job.job_id] = (
                view.tasks_by_job.get(job.job_id, 0) + 1
            )
            queue.charge(job)
            pairs.append((task, self._owner.sessions[view.vm]))
        return pairs

    def _prune_preempted(self):
        """Drop preemptions whose task has left its VM."""
        tasks = self._owner.state.tasks
        self._owner.preempted = {
            task_id: epoch
            for task_id, epoch in self._owner.preempted.items()
            if task_id in tasks
            and tasks[task_id].epoch == epoch
            and tasks[task_id].state.is_on_vm
        }

    def _fair_queue(self, queues):
        """Return a fair queue of the queued tasks.

        Each shard gets an equal part of an organisation's quota;
        accelerators are rounded up.

        :param queues: Urgency, organisation and tasks of each queue.
        :returns: A :class:`radishlanding.policy.FairQueue`.
        """
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
                queue.charge(state.jobs[task.job_id])
        for is_urgent, organisation, items in queues:
            queue.add(
                is_urgent=is_urgent, organisation=organisation, items=items
            )
        return queue

    def _vm_views(self):
        """Return a view of each VM that may receive tasks, by VM.

        VMs in backoff or in a zone out of service are left out.
        """
        zones = self._owner.cfg_watch.document.zones
        now_s = boot_clock_s()
        return {
            session.vm: self._vm_view(session)
            for session in self._owner.sessions.values()
            if session.backoff_until_s < now_s
            and session.zone in zones
            and zones[session.zone].in_service
        }

    def _vm_view(self, session):
        """Return the capacity and the assignments of one VM."""
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

    def _preempt_for(self, job, eligible):
        """Preempt tasks for a task of an urgent job.

        :returns: Whether a VM will have capacity for it.
        """
        if not job.is_urgent:
            return False
        victims = self._preemption.choose_victims(job, eligible)
        if victims is None:
            return False
        for task_id in victims:
            task = self._owner.state.tasks[task_id]
            self._owner.preempted[task_id] = task.epoch
            self._owner.counters.add("tasks_preempted")
            _log.info("task_preempted", task=task_id, vm=task.vm)
        return True

    def _eligible_views(self, task, job, views):
        """Return the views of VMs that may run a task, full ones included."""
        eligible = []
        for view in views:
            running = sum(view.tasks_by_job.values())
            max_new = self._owner.quarantines.max_new_tasks(
                view.vm, running=running
            )
            if (
                view.zone in job.zones
                and view.vm not in task.failed_vms
                and view.capacity.holds(job.needs)
                and max_new != 0
            ):
                eligible.append(view)
        return eligible
