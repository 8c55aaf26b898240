"""Decides which tasks start, and where."""

import random

from radishlanding.workflow import Assignment

# Share of its processors that a filling task must find idle to be started.
MIN_FILL_SHARE = 0.6
# Assignments of one entry of the log; more would delay its answer.
MAX_ASSIGNMENTS = 150
# A workflow may have nothing running for 3 s where there is room; this leaves
# half of that for the start itself.
STARVED_MS = 1500


class WorkflowPlanner:
    """Place the tasks of workflows, first come by an order of choice."""

    __slots__ = ("_idle_since_ms", "_order", "_rng")

    def __init__(self, *, order, rng=None):
        """Prepare a planner.

        :param order: A :class:`WorkflowOrder`.
        :param rng: Source of random numbers, for equal VMs.
        """
        self._idle_since_ms = {}
        self._order = order
        self._rng = rng or random.Random()

    def plan(self, records, loads, *, now_ms):
        """Return assignments of waiting tasks.

        :param records: Workflows that have not ended.
        :param loads: :class:`VmLoad` objects; they are changed as tasks
            are placed.
        :param now_ms: Unix time, in milliseconds.
        :returns: :class:`radishlanding.workflow.Assignment` objects.
        """
        assignments = []
        self._rng.shuffle(loads)
        self._forget_ended(records)
        ranked = sorted(
            records, key=lambda rec: self._order.key(rec, now_ms=now_ms)
        )
        for record in ranked:
            if len(assignments) >= MAX_ASSIGNMENTS:
                break
            vms = [vm for vm in loads if vm.pool == record.workflow.pool]
            for occurrence in range(record.workflow.occurrences):
                if record.workflow.due_ms(occurrence) > now_ms:
                    break
                assignments += self._place_occurrence(
                    record,
                    occurrence,
                    vms,
                    is_starved=self._is_starved(record, now_ms),
                )
        return assignments

    def _forget_ended(self, records):
        names = {record.workflow.workflow_id for record in records}
        for name in self._idle_since_ms.keys() - names:
            del self._idle_since_ms[name]

    def _is_starved(self, record, now_ms):
        """Return whether nothing of a workflow has run for some time."""
        name = record.workflow.workflow_id
        if record.is_busy():
            self._idle_since_ms.pop(name, None)
            return False
        since_ms = self._idle_since_ms.setdefault(name, now_ms)
        return now_ms - since_ms > STARVED_MS

    def _place_occurrence(self, record, occurrence, vms, *, is_starved):
        assignments = []
        for number, step in enumerate(record.workflow.steps):
            if not record.step_is_due(occurrence, number):
                continue
            tasks = record.waiting(occurrence, number)
            if not tasks:
                continue
            key = (record.workflow.workflow_id, occurrence, number)
            place = self._place_gang if step.gang else self._place_tasks
            assignments += place(key, step, tasks, vms, is_starved=is_starved)
        return assignments

    def _place_tasks(self, key, step, tasks, vms, *, is_starved):
        assignments = []
        for task in tasks:
            vm = self._choose(key, step, vms, is_starved=is_starved)
            if vm is None:
                break
            vm.add(key, step)
            assignments.append(_assign(task, vm, task.attempt + 1))
        return assignments

    def _place_gang(self, key, step, tasks, vms, *, is_starved):
        """Place all tasks of a gang, or none.

        All of them carry one number, above any that a member had.
        """
        chosen = []
        attempt = 1 + max(task.attempt for task in tasks)
        racks = sorted({_rack(vm) for vm in vms}) if step.same_rack else [""]
        for rack in racks:
            nearby = [vm for vm in vms if not rack or _rack(vm) == rack]
            chosen = self._try_gang(key, step, tasks, nearby, is_starved)
            if chosen:
                break
        if not chosen and step.same_rack:
            chosen = self._try_gang(key, step, tasks, vms, is_starved)
        return [
            _assign(task, vm, attempt)
            for task, vm in zip(tasks, chosen, strict=False)
        ]

    def _try_gang(self, key, step, tasks, vms, is_starved):
        chosen = []
        for _ in tasks:
            vm = self._choose(key, step, vms, is_starved=is_starved)
            if vm is None:
                for taken in chosen:
                    taken.remove(key, step)
                return []
            vm.add(key, step)
            chosen.append(vm)
        return chosen

    def _choose(self, key, step, vms, *, is_starved=False):
        """Return the best VM for one more task of a step, or None.

        Filling tasks disturb those that serve, so they share a VM with them
        only when their workflow would come to a standstill.
        """
        fitting = [vm for vm in vms if vm.holds(key, step)]
        if step.fills:
            least = step.needs.millicores * MIN_FILL_SHARE
            fitting = [
                vm
                for vm in fitting
                if vm.idle_millicores >= least
                and (is_starved or not vm.serving)
            ]
        if not fitting:
            return None
        near = [vm for vm in fitting if vm.is_near(step)]
        return max(near or fitting, key=lambda vm: _score(vm, step))


def _score(vm, step):
    """Return how well a VM suits a task; higher is better.

    Serving tasks gather on few VMs, with the tasks that neither serve nor
    fill, so that the others are left to filling tasks.
    """
    if step.fills:
        return (not vm.serving, vm.idle_millicores)
    if step.latency_target_ms:
        return (vm.serving > 0, -vm.filling, vm.free.millicores)
    return (vm.serving > 0, vm.idle_millicores)


def _rack(vm):
    """Return the rack of a VM, the last of its labels."""
    return vm.labels[-1] if vm.labels else ""


def _assign(task, vm, attempt):
    return Assignment(
        task_id=task.task_id, attempt=attempt, vm=vm.vm, boot=vm.boot
    )
