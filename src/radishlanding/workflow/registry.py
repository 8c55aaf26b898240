"""State of all workflows as the log records it."""

import collections

from radishlanding.workflow.end import EndKind
from radishlanding.workflow.failed_attempts import FailedAttempts
from radishlanding.workflow.failed_attempts import limit_gang_failures
from radishlanding.workflow.phase import WorkflowPhase
from radishlanding.workflow.queue_ref import QueueRef
from radishlanding.workflow.record import WorkflowRecord
from radishlanding.workflow.task_id import TaskId
from radishlanding.workflow.tombstone import Tombstone
from radishlanding.workflow.tombstone_table import TombstoneTable


class WorkflowRegistry:
    """Hold workflows, and apply the entries of the log in order."""

    __slots__ = (
        "_by_vm",
        "last_ms",
        "tombstones",
        "versions",
        "workflows",
    )

    def __init__(self):
        """Start empty."""
        self._by_vm = collections.defaultdict(dict)
        # Latest Unix time on record, in milliseconds.
        self.last_ms = 0
        self.tombstones = TombstoneTable()
        # By VM; rises with each assignment to it and each end on it.
        self.versions = collections.Counter()
        self.workflows = {}

    def apply(self, entry):
        """Apply an entry; changes that do not fit the state are ignored.

        :param entry: A :class:`LogEntry`.
        :returns: Records of the workflows that it changes.
        """
        changed = {}
        self.last_ms = max(self.last_ms, entry.made_ms)
        for tombstone in entry.tombstones:
            self.tombstones.add(tombstone)
        for workflow in entry.accepted:
            record = WorkflowRecord(workflow=workflow)
            self.workflows.setdefault(workflow.workflow_id, record)
            changed[workflow.workflow_id] = record
        for workflow_id in entry.cancelled:
            record = self.workflows.get(workflow_id)
            if record is not None and not record.phase.has_ended:
                self._finish(record, WorkflowPhase.CANCELLED, entry.made_ms)
                changed[workflow_id] = record
        for end in entry.ends:
            record = self._apply_end(end, entry.made_ms)
            if record is not None:
                changed[record.workflow.workflow_id] = record
        for item in entry.checkpoints:
            if self.is_current(item):
                self._set_checkpoint(*self.find(item.task_id), item.checkpoint)
        for assignment in entry.assignments:
            record = self._apply_assignment(assignment)
            if record is not None:
                changed[record.workflow.workflow_id] = record
        for workflow_id in entry.started:
            record = self.workflows.get(workflow_id)
            if record is not None and record.phase == WorkflowPhase.QUEUED:
                record.phase = WorkflowPhase.RUNNING
                changed[workflow_id] = record
        return list(changed.values())

    def load(self, records):
        """Load the records of a snapshot.

        :param records: :class:`WorkflowRecord` objects.
        """
        for record in records:
            self.last_ms = max(self.last_ms, record.ended_ms)
            if record.is_tombstone:
                self.tombstones.add(Tombstone.from_record(record))
                continue
            self.workflows[record.workflow.workflow_id] = record
            limit_gang_failures(record)
            for task in record.tasks.values():
                if task.is_assigned:
                    self._by_vm[task.vm][task.task_id] = task
                    self.versions[task.vm] += 1

    def snapshot_records(self):
        """Return the records that a snapshot holds; see :meth:`load`.

        Tombstones come first: builds without them keep the last one of two
        records of an identity.
        """
        return [
            *(tombstone.to_record() for tombstone in self.tombstones),
            *self.workflows.values(),
        ]

    def find_workflow(self, workflow_id, queue):
        """Return the record of a workflow of a queue, or None.

        :param workflow_id: Identity of the workflow.
        :param queue: :class:`QueueRef` of the queue.
        """
        record = self.workflows.get(workflow_id)
        if record is None or not record.workflow.queue_ref.matches(queue):
            return None
        return record

    def find(self, task_id):
        """Return the records of a task's workflow and of the task.

        :param task_id: Identity of the task.
        :returns: A pair, with None for each record that does not exist.
        """
        parsed = TaskId.parse(task_id)
        record = self.workflows.get(parsed.workflow_id)
        if record is None:
            return None, None
        return record, record.tasks.get(task_id)

    def tasks_on(self, vm):
        """Return the records of the tasks that are assigned to a VM."""
        return list(self._by_vm.get(vm, {}).values())

    def busy_vms(self):
        """Return the VMs that tasks are assigned to."""
        return [vm for vm, tasks in self._by_vm.items() if tasks]

    def is_current(self, item):
        """Return whether something belongs to a task's current attempt.

        :param item: A :class:`TaskEnd` or :class:`TaskCheckpoint`.
        """
        _, task = self.find(item.task_id)
        return (
            task is not None
            and task.is_assigned
            and task.attempt == item.attempt
        )

    def needs(self, end):
        """Return whether an end changes the state.

        :param end: A :class:`TaskEnd`.
        """
        return self.is_current(end) or self._is_uncounted_failure(end)

    def _is_uncounted_failure(self, end):
        """Return whether an end is a failure of an attempt given up before.

        Its VM was taken for lost, so that the task may run again.
        """
        if end.kind != EndKind.FAILED:
            return False
        record, task = self.find(end.task_id)
        return (
            task is not None
            and end.attempt <= task.attempt
            and _counts_failures(record, task)
            and FailedAttempts(record, task).lacks(end.attempt)
        )

    def is_assigned(self, task_id):
        """Return whether a task is assigned to a VM."""
        _, task = self.find(task_id)
        return task is not None and task.is_assigned

    def is_open(self, workflow_id):
        """Return whether a workflow is known and has not ended."""
        record = self.workflows.get(workflow_id)
        return record is not None and not record.phase.has_ended

    def prune(self, *, before_ms, keeps_ranges=True):
        """Reduce ended workflows to their phases, and drop old ones.

        Old tombstones are dropped, too.

        Ended ones with assigned tasks are left unchanged. Those that go on
        lose the records of done tasks that are not needed; all changes must
        be committed.

        :param before_ms: Unix time in milliseconds; workflows that ended
            earlier are dropped.
        :param keeps_ranges: See :meth:`WorkflowRecord.drop_done`.
        """
        for workflow_id, record in list(self.workflows.items()):
            if not record.phase.has_ended:
                record.drop_done(keeps_ranges=keeps_ranges)
                continue
            if record.has_assigned_tasks():
                continue
            if record.ended_ms < before_ms:
                del self.workflows[workflow_id]
            else:
                record.clear_tasks()
        self.tombstones.prune(before_ms=before_ms)

    def backlog(self, queue):
        """Return how many workflows of a queue have not started.

        A workflow has started once a worker is known to have started one of
        its tasks, and that is committed. Repeated workflows do not count.

        :param queue: :class:`QueueRef` of the queue.
        """
        counts = collections.Counter(
            (record.workflow.queue, record.workflow.base_url)
            for record in self.workflows.values()
            if record.shown == WorkflowPhase.QUEUED
            and not record.workflow.repeats
        )
        return sum(
            count
            for (name, base_url), count in counts.items()
            if QueueRef(name=name, base_url=base_url).matches(queue)
        )

    def _finish(self, record, phase, ended_ms):
        record.phase = phase
        record.ended_ms = ended_ms

    def _apply_assignment(self, assignment):
        parsed = TaskId.parse(assignment.task_id)
        record = self.workflows.get(parsed.workflow_id)
        if record is None or record.phase.has_ended:
            return None
        task = record.task(parsed.occurrence, parsed.step, parsed.index)
        task.attempt = assignment.attempt
        task.vm = assignment.vm
        task.boot = assignment.boot
        record.tasks[task.task_id] = task
        record.progress.assign(parsed)
        self._by_vm[task.vm][task.task_id] = task
        self.versions[task.vm] += 1
        return record

    def _apply_end(self, end, made_ms):
        if not self.needs(end):
            return None
        record, task = self.find(end.task_id)
        if end.kind.shows_start and record.phase == WorkflowPhase.QUEUED:
            record.phase = WorkflowPhase.RUNNING
        if not self.is_current(end):
            self._count_failure(record, task, end.attempt, made_ms)
            return record
        self._by_vm[task.vm].pop(task.task_id, None)
        self.versions[task.vm] += 1
        if end.kind == EndKind.FAILED:
            task.failed_vm = task.vm
        task.vm = task.boot = ""
        record.progress.release(
            TaskId.parse(task.task_id), is_done=task.is_done
        )
        if end.checkpoint:
            self._set_checkpoint(record, task, end.checkpoint)
        if end.kind == EndKind.DONE:
            self._mark_done(record, task, made_ms)
        elif end.kind == EndKind.FAILED:
            self._count_failure(record, task, end.attempt, made_ms)
        return record

    def _set_checkpoint(self, record, task, checkpoint):
        """Set a checkpoint; a member's counts for its whole gang."""
        for member in record.members(task):
            member.checkpoint = checkpoint

    def _mark_done(self, record, task, made_ms):
        parsed = TaskId.parse(task.task_id)
        # The first end of a gang's member marks all of them.
        if record.workflow.steps[parsed.step].standing or task.is_done:
            return
        FailedAttempts(record, task).clear()
        for member in record.members(task):
            if not member.is_done:
                member.is_done = True
                record.mark_done(TaskId.parse(member.task_id))
        if record.is_completed() and not record.phase.has_ended:
            self._finish(record, WorkflowPhase.COMPLETED, made_ms)

    def _count_failure(self, record, task, attempt, made_ms):
        if not _counts_failures(record, task):
            return
        failed = FailedAttempts(record, task)
        limit = record.workflow.max_attempts
        if failed.add(attempt) and failed.count() >= limit:
            self._finish(record, WorkflowPhase.FAILED, made_ms)


def _counts_failures(record, task):
    """Return whether failed attempts of a task may end its workflow."""
    workflow = record.workflow
    has_limit = bool(workflow.max_attempts) and not workflow.is_standing
    return has_limit and not (record.phase.has_ended or task.is_done)
