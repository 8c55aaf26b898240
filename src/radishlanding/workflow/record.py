"""A workflow with the state of its tasks."""

import dataclasses

from radishlanding.workflow.phase import WorkflowPhase
from radishlanding.workflow.task_id import task_id
from radishlanding.workflow.task_record import TaskRecord
from radishlanding.workflow.workflow import Workflow


@dataclasses.dataclass(slots=True, kw_only=True)
class WorkflowRecord:
    """What the journal says of a workflow.

    Tasks that were never assigned have no record yet.

    :param workflow: What was accepted.
    :param phase: Where it stands, with changes that are being recorded.
    :param shown: Where it stands on record; empty until it is accepted.
    :param ended_ms: Unix time of its end, in milliseconds, 0 before.
    :param tasks: Records of its tasks by name.
    :param done: Tasks that are done by occurrence and step.
    """

    workflow: Workflow
    phase: WorkflowPhase = WorkflowPhase.QUEUED
    shown: str = ""
    ended_ms: int = 0
    tasks: dict[str, TaskRecord] = dataclasses.field(default_factory=dict)
    done: dict[str, int] = dataclasses.field(default_factory=dict)

    def is_step_done(self, occurrence, number):
        """Return whether all tasks of a step are done."""
        step = self.workflow.steps[number]
        return self.done.get(f"{occurrence}.{number}", 0) >= step.count

    def is_step_ready(self, occurrence, number):
        """Return whether the steps before a step are done."""
        return all(
            self.is_step_done(occurrence, earlier)
            for earlier in self.workflow.steps[number].after
        )

    def mark_done(self, place):
        """Count one more task of a step as done."""
        key = f"{place.occurrence}.{place.step}"
        self.done[key] = self.done.get(key, 0) + 1

    def has_assigned_tasks(self):
        """Return whether an attempt of any task may be running."""
        return any(task.is_assigned for task in self.tasks.values())

    def clear_tasks(self):
        """Drop what only a workflow needs that has not ended."""
        self.tasks.clear()
        self.done.clear()
        self.workflow.steps = []
        self.workflow.spec = ""

    def is_completed(self):
        """Return whether every task of every occurrence is done."""
        return all(
            self._occurrence_done(occurrence)
            for occurrence in range(self.workflow.occurrences)
        )

    def objective_start_ms(self, now_ms):
        """Return the Unix time from which its objective counts.

        For repeated workflows that is when the first occurrence was due that
        is not done.
        """
        workflow = self.workflow
        if not workflow.repeats:
            return workflow.accepted_ms
        for occurrence in range(workflow.occurrences):
            due_ms = workflow.due_ms(occurrence)
            if due_ms > now_ms or not self._occurrence_done(occurrence):
                return due_ms
        return workflow.accepted_ms

    def _occurrence_done(self, occurrence):
        return all(
            self.is_step_done(occurrence, number)
            for number in range(len(self.workflow.steps))
        )

    def task(self, occurrence, step, index):
        """Return the record of a task, which may be new."""
        name = task_id(self.workflow.workflow_id, occurrence, step, index)
        record = self.tasks.get(name)
        return record if record is not None else TaskRecord(task_id=name)

    def pending_tasks(self, occurrence, number):
        """Return the records of a step's tasks that have nothing running.

        A gang is one unit: its tasks wait until none of them may run.
        """
        step = self.workflow.steps[number]
        if self.is_step_done(occurrence, number):
            return []
        tasks = [
            self.task(occurrence, number, index) for index in range(step.count)
        ]
        if step.gang:
            is_free = not any(task.is_assigned for task in tasks)
            return tasks if is_free else []
        return [t for t in tasks if not t.is_assigned and not t.is_done]
