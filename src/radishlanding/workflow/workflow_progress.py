"""What is left to place of a workflow."""

from radishlanding.workflow.frontier import Frontier
from radishlanding.workflow.step_progress import StepProgress
from radishlanding.workflow.task_id import TaskId


class WorkflowProgress:
    """Index the tasks and steps of a workflow by what is left to do.

    It is derived from the record, which is what the log holds, and is brought
    up to date with each change of it. Its load is a workflow of 1,000 steps
    of 100,000 tasks: a walk over them in each round takes the leader's memory
    and time, though a round places some hundred tasks.
    """

    __slots__ = (
        "_assigned",
        "_done",
        "_dropped",
        "_first_open",
        "_frontiers",
        "_steps",
        "_tasks",
        "_workflow",
    )

    def __init__(self, *, workflow, tasks, done, dropped):
        """Index the present state.

        :param workflow: The :class:`Workflow`.
        :param tasks: Records of its tasks by task id; the dictionary itself
            is kept.
        :param done: Number of done tasks by ``OCCURRENCE.STEP``; the
            dictionary itself is kept.
        :param dropped: Bounds of the ranges of done tasks without a record,
            by ``OCCURRENCE.STEP``; the dictionary itself is kept.
        """
        self._assigned = 0
        self._done = done
        self._dropped = dropped
        self._first_open = 0
        self._frontiers = {}
        self._steps = {}
        self._tasks = tasks
        self._workflow = workflow
        for key in dropped:
            self._step_at(tuple(map(int, key.split("."))))
        for task in tasks.values():
            parsed = TaskId.parse(task.task_id)
            if task.is_assigned:
                self.assign(parsed)
            else:
                self._step(parsed).release(parsed.index, is_done=task.is_done)

    def _step(self, task):
        return self._step_at((task.occurrence, task.step))

    def _step_at(self, position):
        progress = self._steps.get(position)
        if progress is None:
            occurrence, number = position
            progress = self._steps[position] = StepProgress(
                prefix=(self._workflow.workflow_id, *position),
                tasks=self._tasks,
                dropped=self._dropped.get(f"{occurrence}.{number}", ()),
            )
        return progress

    @property
    def has_assigned(self):
        """Return whether any task is assigned."""
        return self._assigned > 0

    @property
    def returned_count(self):
        """Return how many tasks wait that were assigned before."""
        return sum(len(step.returned) for step in self._steps.values())

    def assign(self, task):
        """Record that a task, which has a record, is assigned.

        :param task: The :class:`TaskId`.
        """
        progress = self._step(task)
        self._assigned += task.index not in progress.assigned
        progress.assign(task.index)

    def release(self, task, *, is_done):
        """Record that an attempt has ended.

        :param task: The :class:`TaskId`.
        :param is_done: Whether the task was already done.
        """
        progress = self._step(task)
        self._assigned -= task.index in progress.assigned
        progress.release(task.index, is_done=is_done)

    def mark_done(self, task):
        """Record that a task, which ``done`` counts already, is done.

        :param task: The :class:`TaskId`.
        """
        self._step(task).returned.discard(task.index)
        if self.is_step_done(task.occurrence, task.step):
            frontier = self._frontiers.get(task.occurrence)
            if frontier is not None:
                frontier.mark_done(task.step)

    def is_step_done(self, occurrence, number):
        """Return whether all tasks of a step are done."""
        done = self._done.get(f"{occurrence}.{number}", 0)
        return done >= self._workflow.steps[number].count

    def _frontier(self, occurrence):
        frontier = self._frontiers.get(occurrence)
        if frontier is None:
            steps = self._workflow.steps
            frontier = self._frontiers[occurrence] = Frontier(
                steps=steps,
                successors=self._workflow.shape.successors,
                done=[
                    number
                    for number in range(len(steps))
                    if self.is_step_done(occurrence, number)
                ],
            )
        return frontier

    def is_step_ready(self, occurrence, number):
        """Return whether all steps that a step depends on are done."""
        if occurrence < self._first_open:
            return True
        return self._frontier(occurrence).is_ready(number)

    def ready_steps(self, occurrence):
        """Return the numbers of the ready steps that are not done."""
        if occurrence < self._first_open:
            return []
        return self._frontier(occurrence).ready_steps()

    def drop(self, occurrence, number, indexes):
        """Note done tasks of a step whose records are dropped.

        :param indexes: Their indexes in the step.
        """
        key = f"{occurrence}.{number}"
        if self.is_step_done(occurrence, number):
            self._dropped.pop(key, None)
            return
        dropped = self._step_at((occurrence, number)).dropped
        dropped.update(indexes)
        self._dropped[key] = dropped.bounds()

    def first_open(self):
        """Return the first occurrence that is not done.

        :returns: Its number, or the number of occurrences if all are done.
        """
        last = self._workflow.occurrences
        if not self._workflow.steps:
            self._first_open = last
        while (
            self._first_open < last
            and self._frontier(self._first_open).is_done
        ):
            del self._frontiers[self._first_open]
            self._first_open += 1
        return self._first_open

    def pending_count(self, occurrence, number):
        """Return how many tasks of a step wait for a VM."""
        if self.is_step_done(occurrence, number):
            return 0
        step = self._workflow.steps[number]
        progress = self._steps.get((occurrence, number))
        if progress is None:
            return step.count
        if step.gang:
            return 0 if progress.assigned else step.count
        done = self._done.get(f"{occurrence}.{number}", 0)
        return step.count - done - len(progress.assigned)

    def pending(self, occurrence, number):
        """Return the indexes of a step's tasks that wait for a VM, in order.

        :returns: An iterable, which is to be read before the next change.
        """
        step = self._workflow.steps[number]
        progress = self._steps.get((occurrence, number))
        if not self.pending_count(occurrence, number):
            return ()
        if step.gang or progress is None:
            return range(step.count)
        return progress.pending(step.count)
