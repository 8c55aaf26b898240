"""State of a workflow and its tasks."""

import dataclasses

from radishlanding.workflow.phase import WorkflowPhase
from radishlanding.workflow.task_id import task_id
from radishlanding.workflow.task_record import TaskRecord
from radishlanding.workflow.workflow import Workflow


@dataclasses.dataclass(slots=True, kw_only=True)
class WorkflowRecord:
    """State of a workflow as the log records it.

    Tasks that were never assigned have no record.

    :param workflow: The workflow as it was accepted.
    :param phase: Current phase, including changes that are not committed yet.
    :param shown: Committed phase, which callers are shown; empty until the
        acceptance is committed.
    :param ended_ms: Unix time of its end, in milliseconds, 0 before.
    :param tasks: Records of its tasks by task id.
    :param done: Number of done tasks by ``OCCURRENCE.STEP``.
    """

    workflow: Workflow
    phase: WorkflowPhase = WorkflowPhase.QUEUED
    shown: str = ""
    ended_ms: int = 0
    tasks: dict[str, TaskRecord] = dataclasses.field(default_factory=dict)
    done: dict[str, int] = dataclasses.field(default_factory=dict)

    @property
    def has_committed_end(self):
        """Return whether the workflow has ended and its end is committed."""
        return bool(self.shown) and WorkflowPhase(self.shown).has_ended

    def is_step_done(self, occurrence, number):
        """Return whether all tasks of a step are done.

        :param occurrence: Number of the occurrence, from 0.
        :param number: Number of the step, from 0.
        """
        step = self.workflow.steps[number]
        return self.done.get(f"{occurrence}.{number}", 0) >= step.count

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
        return all(
            self.is_step_done(occurrence, earlier)
            for earlier in self.workflow.steps[number].after
        )

    def mark_done(self, task):
        """Count one more task of a step as done.

        :param task: The :class:`TaskId`.
        """
        key = f"{task.occurrence}.{task.step}"
        self.done[key] = self.done.get(key, 0) + 1

    def has_assigned_tasks(self):
        """Return whether any task is assigned, and may be running."""
        return any(task.is_assigned for task in self.tasks.values())

    def clear_tasks(self):
        """Drop the state that an ended workflow does not need."""
        self.tasks.clear()
        self.done.clear()
        self.workflow.steps = []
        self.workflow.spec = ""

    def is_completed(self):
        """Return whether every task of every occurrence is done."""
        return all(
            self._is_occurrence_done(occurrence)
            for occurrence in range(self.workflow.occurrences)
        )

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
        for occurrence in range(workflow.occurrences):
            due_ms = workflow.due_ms(occurrence)
            if due_ms > now_ms or not self._is_occurrence_done(occurrence):
                return due_ms
        return workflow.accepted_ms

    def _is_occurrence_done(self, occurrence):
        return all(
            self.is_step_done(occurrence, number)
            for number in range(len(self.workflow.steps))
        )

    def task(self, occurrence, step, index):
        """Return the record of a task, a new one if it has none."""
        key = task_id(self.workflow.workflow_id, occurrence, step, index)
        record = self.tasks.get(key)
        return record if record is not None else TaskRecord(task_id=key)

    def pending_tasks(self, occurrence, number):
        """Return the records of a step's tasks that wait for a VM.

        A gang is placed as a whole: its tasks are pending only when none of
        them is assigned.

        :param occurrence: Number of the occurrence, from 0.
        :param number: Number of the step, from 0.
        """
        step = self.workflow.steps[number]
        if self.is_step_done(occurrence, number):
            return []
        tasks = [
            self.task(occurrence, number, index) for index in range(step.count)
        ]
        if step.gang:
            is_pending = not any(task.is_assigned for task in tasks)
            return tasks if is_pending else []
        return [t for t in tasks if not t.is_assigned and not t.is_done]
