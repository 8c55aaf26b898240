"""Everything that the journal of workflows says."""

import collections

from radishlanding.workflow.end import EndKind
from radishlanding.workflow.phase import WorkflowPhase
from radishlanding.workflow.record import WorkflowRecord
from radishlanding.workflow.task_id import TaskId


class WorkflowRegistry:
    """Hold workflows and apply recorded changes in their order."""

    __slots__ = ("_by_vm", "versions", "workflows")

    def __init__(self):
        """Start empty."""
        self._by_vm = collections.defaultdict(dict)
        # Rises with each task that comes to a VM or leaves it.
        self.versions = collections.Counter()
        self.workflows = {}

    def apply(self, entry):
        """Apply an entry; what does not fit the state changes nothing.

        :param entry: An :class:`LogEntry`.
        :returns: Records of the workflows that it touched.
        """
        touched = {}
        for workflow in entry.accepted:
            record = WorkflowRecord(workflow=workflow)
            self.workflows.setdefault(workflow.workflow_id, record)
            touched[workflow.workflow_id] = record
        for workflow_id in entry.cancelled:
            record = self.workflows.get(workflow_id)
            if record is not None and not record.phase.has_ended:
                self._finish(record, WorkflowPhase.CANCELLED, entry.made_ms)
                touched[workflow_id] = record
        for end in entry.ends:
            record = self._end(end, entry.made_ms)
            if record is not None:
                touched[record.workflow.workflow_id] = record
        for assignment in entry.assignments:
            record = self._assign(assignment)
            if record is not None:
                touched[record.workflow.workflow_id] = record
        return list(touched.values())

    def load(self, records):
        """Take records of a snapshot.

        :param records: :class:`WorkflowRecord` objects.
        """
        for record in records:
            self.workflows[record.workflow.workflow_id] = record
            for task in record.tasks.values():
                if task.is_assigned:
                    self._by_vm[task.vm][task.task_id] = task
                    self.versions[task.vm] += 1

    def find(self, name):
        """Return the workflow and task of a name, None for unknown ones."""
        place = TaskId.parse(name)
        record = self.workflows.get(place.workflow_id)
        if record is None:
            return None, None
        return record, record.tasks.get(name)

    def tasks_on(self, vm):
        """Return the records of the tasks that may run on a VM."""
        return list(self._by_vm.get(vm, {}).values())

    def busy_vms(self):
        """Return the VMs on which something may run."""
        return [vm for vm, tasks in self._by_vm.items() if tasks]

    def is_current(self, end):
        """Return whether an end is of a task's newest attempt."""
        _, task = self.find(end.task_id)
        return (
            task is not None
            and task.is_assigned
            and task.attempt == end.attempt
        )

    def prune(self, *, before_ms):
        """Keep only the phase of what has ended, and only for a while.

        :param before_ms: Unix time of the oldest end to keep, in
            milliseconds.
        """
        for workflow_id, record in list(self.workflows.items()):
            if not record.phase.has_ended or record.has_assigned_tasks():
                continue
            if record.ended_ms < before_ms:
                del self.workflows[workflow_id]
            else:
                record.clear_tasks()

    def backlog(self, queue):
        """Return how many workflows of a queue have not begun."""
        return sum(
            record.workflow.queue == queue
            and record.phase == WorkflowPhase.QUEUED
            and not record.workflow.repeats
            for record in self.workflows.values()
        )

    def _finish(self, record, phase, made_ms):
        record.phase = phase
        record.ended_ms = made_ms

    def _assign(self, assignment):
        place = TaskId.parse(assignment.task_id)
        record = self.workflows.get(place.workflow_id)
        if record is None or record.phase.has_ended:
            return None
        task = record.task(place.occurrence, place.step, place.index)
        task.attempt = assignment.attempt
        task.vm = assignment.vm
        task.boot = assignment.boot
        record.tasks[task.task_id] = task
        record.phase = WorkflowPhase.RUNNING
        self._by_vm[task.vm][task.task_id] = task
        self.versions[task.vm] += 1
        return record

    def _end(self, end, made_ms):
        if not self.is_current(end):
            return None
        record, task = self.find(end.task_id)
        self._by_vm[task.vm].pop(task.task_id, None)
        self.versions[task.vm] += 1
        if end.kind == EndKind.FAILED:
            task.failed_vm = task.vm
        task.vm = task.boot = ""
        if end.checkpoint:
            self._keep_checkpoint(record, task, end.checkpoint)
        if end.kind == EndKind.DONE:
            self._done(record, task, made_ms)
        elif end.kind == EndKind.FAILED:
            task.failures += 1
            self._fail(record, task, made_ms)
        return record

    def _keep_checkpoint(self, record, task, checkpoint):
        """Keep progress; that of one member holds for its whole gang."""
        for member in _members(record, task):
            member.checkpoint = checkpoint

    def _done(self, record, task, made_ms):
        place = TaskId.parse(task.task_id)
        if record.workflow.steps[place.step].standing:
            return
        for member in _members(record, task):
            if not member.is_done:
                member.is_done = True
                record.mark_done(place)
        if record.is_completed() and not record.phase.has_ended:
            self._finish(record, WorkflowPhase.COMPLETED, made_ms)

    def _fail(self, record, task, made_ms):
        if record.phase.has_ended or record.workflow.is_standing:
            return
        failures = sum(member.failures for member in _members(record, task))
        limit = record.workflow.max_attempts
        if limit and failures >= limit:
            self._finish(record, WorkflowPhase.FAILED, made_ms)


def _members(record, task):
    """Return the tasks that stand or fall with a task."""
    place = TaskId.parse(task.task_id)
    step = record.workflow.steps[place.step]
    if not step.gang:
        return [task]
    return [
        record.task(place.occurrence, place.step, index)
        for index in range(step.count)
    ]
