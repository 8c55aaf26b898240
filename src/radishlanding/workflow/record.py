"""State of a workflow and its tasks."""

import collections
import dataclasses

from radishlanding.workflow.derived_state import DerivedState
from radishlanding.workflow.phase import WorkflowPhase
from radishlanding.workflow.task_id import task_id
from radishlanding.workflow.task_id import TaskId
from radishlanding.workflow.task_record import TaskRecord
from radishlanding.workflow.workflow import Workflow
from radishlanding.workflow.workflow_progress import WorkflowProgress

# Records of done tasks of a step that is not done. Beyond it they are kept as
# ranges, which earlier versions do not read; their records of 150 bytes each
# would fill a chunk of the snapshot. Callers' steps have up to 80 tasks.
MAX_DONE_RECORDS = 2000


@dataclasses.dataclass(slots=True, kw_only=True)
class WorkflowRecord(DerivedState):
    """State of a workflow as the log records it.

    Tasks that were never assigned have no record, and a snapshot drops those
    of done tasks; see :meth:`drop_done`.

    :param workflow: The workflow as it was accepted.
    :param phase: Current phase, including changes that are not committed yet.
    :param shown: Committed phase, which callers are shown; empty until the
        acceptance is committed.
    :param ended_ms: Unix time of its end, in milliseconds, 0 before.
    :param tasks: Records of its tasks by task id.
    :param done: Number of done tasks by ``OCCURRENCE.STEP``.
    :param dropped: Done tasks without a record, of steps that are not done:
        bounds of :class:`IndexRanges` by ``OCCURRENCE.STEP``.
    :param failed_attempts: Numbers of the failed attempts of each task and
        gang that is not done, by ``OCCURRENCE.STEP.INDEX`` of a task and
        ``OCCURRENCE.STEP`` of a gang.
    :param is_tombstone: Whether it stands for a :class:`Tombstone`.
    """

    workflow: Workflow
    phase: WorkflowPhase = WorkflowPhase.QUEUED
    shown: str = ""
    ended_ms: int = 0
    tasks: dict[str, TaskRecord] = dataclasses.field(default_factory=dict)
    done: dict[str, int] = dataclasses.field(default_factory=dict)
    dropped: dict[str, list[int]] = dataclasses.field(default_factory=dict)
    failed_attempts: dict[str, list[int]] = dataclasses.field(
        default_factory=dict
    )
    is_tombstone: bool = False

    @property
    def is_under_way(self):
        """Return whether a task of it has started or is assigned."""
        if self.phase.has_ended:
            return False
        return self.phase == WorkflowPhase.RUNNING or self.has_assigned_tasks()

    @property
    def has_committed_end(self):
        """Return whether the workflow has ended and its end is committed."""
        return bool(self.shown) and WorkflowPhase(self.shown).has_ended

    @property
    def progress(self):
        """Return the :class:`WorkflowProgress`.

        It is derived from the records of the tasks when it is first needed;
        what changes them afterwards has to tell it.
        """
        progress = self._known()
        if progress is None:
            progress = self._derived = WorkflowProgress(
                workflow=self.workflow,
                tasks=self.tasks,
                done=self.done,
                dropped=self.dropped,
            )
        return progress

    def is_step_done(self, occurrence, number):
        """Return whether all tasks of a step are done.

        :param occurrence: Number of the occurrence, from 0.
        :param number: Number of the step, from 0.
        """
        return self.progress.is_step_done(occurrence, number)

    def tasks_left(self, occurrence, number):
        """Return the number of a step's tasks that are not done.

        :param occurrence: Number of the occurrence, from 0.
        :param number: Number of the step, from 0.
        """
        step = self.workflow.steps[number]
        return max(0, step.count - self.done.get(f"{occurrence}.{number}", 0))

    def is_step_ready(self, occurrence, number):
        """Return whether all steps that a step depends on are done.

        :param occurrence: Number of the occurrence, from 0.
        :param number: Number of the step, from 0.
        """
        return self.progress.is_step_ready(occurrence, number)

    def ready_steps(self, now_ms):
        """Yield the positions of ready steps that are due and not done.

        :param now_ms: Unix time, in milliseconds.
        :returns: Pairs of the numbers of the occurrence and the step, in
            order.
        """
        workflow = self.workflow
        for occurrence in range(
            self.progress.first_open(), workflow.occurrences
        ):
            if workflow.due_ms(occurrence) > now_ms:
                break
            for number in self.progress.ready_steps(occurrence):
                yield occurrence, number

    def mark_done(self, task):
        """Count one more task of a step as done.

        :param task: The :class:`TaskId`.
        """
        key = f"{task.occurrence}.{task.step}"
        self.done[key] = self.done.get(key, 0) + 1
        self.progress.mark_done(task)

    def has_assigned_tasks(self):
        """Return whether any task is assigned, and may be running."""
        return self.progress.has_assigned

    @property
    def returning_count(self):
        """Return how many standing tasks that were assigned wait again.

        Their VM was lost or has restarted, or they have failed.
        """
        if not self.workflow.is_standing or self.phase.has_ended:
            return 0
        return self.progress.returned_count

    def clear_tasks(self):
        """Drop the state that an ended workflow does not need."""
        self.tasks.clear()
        self.done.clear()
        self.dropped.clear()
        self.failed_attempts.clear()
        self.workflow.steps = []
        self.workflow.spec = ""
        self._derived = None

    def drop_done(self, *, keeps_ranges=True):
        """Drop the records of done tasks that are not needed any more.

        All changes so far must be committed. Without it the memory of the
        leader and the snapshot grow with all tasks that have run.

        :param keeps_ranges: Whether done tasks of steps that are not done may
            be kept as ranges; otherwise those that are get records again.
        """
        if not keeps_ranges:
            self._restore_dropped()
        done = collections.defaultdict(list)
        for task in self.tasks.values():
            if task.is_done and not task.is_assigned:
                parsed = TaskId.parse(task.task_id)
                done[parsed.occurrence, parsed.step].append(parsed.index)
        for position, indexes in done.items():
            is_large = keeps_ranges and len(indexes) > MAX_DONE_RECORDS
            if not is_large and not self.is_step_done(*position):
                continue
            for index in indexes:
                del self.tasks[
                    task_id(self.workflow.workflow_id, *position, index)
                ]
            self.progress.drop(*position, indexes)

    def _restore_dropped(self):
        """Make records of done tasks that are kept as ranges."""
        for key, bounds in self.dropped.items():
            for first, end in zip(bounds[::2], bounds[1::2], strict=True):
                for index in range(first, end):
                    task = self.task(*key.split("."), index)
                    task.attempt, task.is_done = 1, True
                    self.tasks[task.task_id] = task
        if self.dropped:
            self.dropped.clear()
            self._derived = None

    def is_completed(self):
        """Return whether every task of every occurrence is done."""
        return self.progress.first_open() >= self.workflow.occurrences

    def objective_start_ms(self, now_ms):
        """Return the start of the period that the objective limits.

        For a repeated workflow it is the due time of the first occurrence
        that is not done.

        :param now_ms: Unix time, in milliseconds.
        :returns: Unix time, in milliseconds.
        """
        workflow = self.workflow
        if not workflow.repeats:
            return workflow.accepted_ms
        occurrence = self.progress.first_open()
        if occurrence < workflow.occurrences:
            return workflow.due_ms(occurrence)
        return workflow.accepted_ms

    def task(self, occurrence, step, index):
        """Return the record of a task, a new one if it has none."""
        key = task_id(self.workflow.workflow_id, occurrence, step, index)
        record = self.tasks.get(key)
        return record if record is not None else TaskRecord(task_id=key)

    def is_gang(self, name):
        """Return whether a task is a member of a gang.

        :param name: Identity of the task, of a workflow that has not ended.
        """
        steps = self.workflow.steps
        return bool(steps) and steps[TaskId.parse(name).step].gang

    def members(self, task):
        """Return the records of a task's gang, or its own alone.

        :param task: The :class:`TaskRecord`.
        """
        if not self.is_gang(task.task_id):
            return [task]
        parsed = TaskId.parse(task.task_id)
        count = self.workflow.steps[parsed.step].count
        return [
            self.task(parsed.occurrence, parsed.step, index)
            for index in range(count)
        ]

    def failed_vms(self, occurrence, number):
        """Return the VMs on which members of a gang have failed.

        :param occurrence: Number of the occurrence, from 0.
        :param number: Number of the step, from 0.
        """
        if f"{occurrence}.{number}" not in self.failed_attempts:
            return frozenset()
        count = self.workflow.steps[number].count
        members = (self.task(occurrence, number, idx) for idx in range(count))
        return {task.failed_vm for task in members if task.failed_vm}

    def pending_count(self, occurrence, number):
        """Return how many tasks of a step wait for a VM.

        A gang is placed as a whole: its tasks are pending only when none of
        them is assigned.

        :param occurrence: Number of the occurrence, from 0.
        :param number: Number of the step, from 0.
        """
        return self.progress.pending_count(occurrence, number)

    def iter_pending(self, occurrence, number):
        """Yield the records of a step's tasks that wait for a VM.

        A record is made as it is asked for. The step may have 100,000 tasks
        of which a round places some hundred.

        :param occurrence: Number of the occurrence, from 0.
        :param number: Number of the step, from 0.
        """
        for index in self.progress.pending(occurrence, number):
            yield self.task(occurrence, number, index)

    def pending_tasks(self, occurrence, number):
        """Return all of :meth:`iter_pending`, as a list."""
        return list(self.iter_pending(occurrence, number))
