"""Decides which tasks start, and where."""

import random

from radishlanding.workflow import Assignment

# Share of its processors that a filling task must find idle to be started.
MIN_FILL_SHARE = 0.6
# Assignments of one entry of the log; more would delay its answer.
MAX_ASSIGNMENTS = 150
# A filling task that finds no VM without serving tasks counts each of them
# as this many busy cores.
SERVING_PENALTY = 8_000


class WorkflowPlanner:
    """Place the tasks of workflows, first come by an order of choice."""

    __slots__ = ("_order", "_rng")

    def __init__(self, *, order, rng=None):
        """Prepare a planner.

        :param order: A :class:`WorkflowOrder`.
        :param rng: Source of random numbers, for equal VMs.
        """
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
                assignments += self._place_occurrence(record, occurrence, vms)
        return assignments

    def _place_occurrence(self, record, occurrence, vms):
        assignments = []
        for number, step in enumerate(record.workflow.steps):
            if not record.step_is_due(occurrence, number):
                continue
            tasks = record.waiting(occurrence, number)
            if not tasks:
                continue
            key = (record.workflow.workflow_id, occurrence, number)
            place = self._place_gang if step.gang else self._place_tasks
            assignments += place(key, step, tasks, vms)
        return assignments

    def _place_tasks(self, key, step, tasks, vms):
        assignments = []
        for task in tasks:
            vm = self._choose(key, step, vms)
            if vm is None:
                break
            vm.add(key, step)
            assignments.append(_assign(task, vm, task.attempt + 1))
        return assignments

    def _place_gang(self, key, step, tasks, vms):
        """Place all tasks of a gang, or none.

        All of them carry one number, above any that a member had.
        """
        chosen = []
        attempt = 1 + max(task.attempt for task in tasks)
        racks = sorted({_rack(vm) for vm in vms}) if step.same_rack else [""]
        for rack in racks:
            nearby = [vm for vm in vms if not rack or _rack(vm) == rack]
            chosen = self._try_gang(key, step, tasks, nearby)
            if chosen:
                break
        if not chosen and step.same_rack:
            chosen = self._try_gang(key, step, tasks, vms)
        return [
            _assign(task, vm, attempt)
            for task, vm in zip(tasks, chosen, strict=False)
        ]

    def _try_gang(self, key, step, tasks, vms):
        chosen = []
        for _ in tasks:
            vm = self._choose(key, step, vms)
            if vm is None:
                for taken in chosen:
                    taken.remove(key, step)
                return []
            vm.add(key, step)
            chosen.append(vm)
        return chosen

    def _choose(self, key, step, vms):
        """Return the best VM for one more task of a step, or None."""
        fitting = [vm for vm in vms if vm.holds(key, step)]
        if step.fills:
            least = step.needs.millicores * MIN_FILL_SHARE
            fitting = [vm for vm in fitting if vm.idle_millicores >= least]
        if not fitting:
            return None
        near = [vm for vm in fitting if vm.is_near(step)]
        return max(near or fitting, key=lambda vm: _score(vm, step))


def _score(vm, step):
    """Return how well a VM suits a task; higher is better."""
    if step.fills:
        return vm.idle_millicores - SERVING_PENALTY * vm.serving
    return min(vm.idle_millicores, vm.free.millicores)


def _rack(vm):
    """Return the rack of a VM, the last of its labels."""
    return vm.labels[-1] if vm.labels else ""


def _assign(task, vm, attempt):
    return Assignment(
        task_id=task.task_id, attempt=attempt, vm=vm.vm, boot=vm.boot
    )
