"""Ranks the best-effort tasks of all VMs in one order."""

import collections

from radishlanding.policy.straggler_mitigation import step_name
from radishlanding.workflow import task_id

# A workflow overtakes another one of its class only with this much less work
# left. Callers' estimates and whole percents of progress vary by less from
# one round to the next.
OVERTAKE_MARGIN = 0.2


class TaskPrecedenceOrder:
    """Order the workflows that compete for the headroom of all VMs.

    It addresses VMs whose serving tasks spare headroom for about one heavy
    task each, and workflows whose tasks are spread over many VMs. A workflow
    waits for its last task, so that the VMs have to agree which workflow goes
    first. Of one class, the workflow with the least work left goes first,
    over all its steps: others wait for it the shortest time.

    A workflow keeps its place until another one has clearly less work left.
    """

    __slots__ = ("_places", "_run_times", "overtakes")

    def __init__(self, *, run_times):
        """Start without ranks.

        :param run_times: A :class:`RunTimes`.
        """
        self._places = []
        self._run_times = run_times
        # Number of places that workflows have gained in front of others.
        self.overtakes = 0

    def rank(self, tasks, *, class_of):
        """Return the rank of each step of which tasks run; one round.

        Tasks of one step share a rank.

        :param tasks: Tuples of a workflow's record, the
            :class:`radishlanding.workflow.TaskId` of one of its best-effort
            tasks that run, and the task's progress in percent.
        :param class_of: Callable that returns the class of a record, see
            ``CLASS_PARTS``; smaller classes go first.
        :returns: Ranks from 0 by the name of the step, see
            :func:`step_name`.
        """
        runs = self._runs(tasks)
        keys = {
            run: (class_of(record), self._core_ms_left(record, run[1], steps))
            for run, (record, steps) in runs.items()
        }
        self._places = self._arrange(keys)
        names = []
        for run in self._places:
            record, steps = runs[run]
            names += _by_urgency(record, run[1], steps)
        return {name: rank for rank, name in enumerate(names)}

    def _runs(self, tasks):
        """Return the record and the running steps of each occurrence.

        :returns: By workflow and occurrence, the record and the share of a
            task that is done, in total over the running tasks, by step.
        """
        runs = {}
        for record, parsed_id, progress in tasks:
            run = parsed_id.workflow_id, parsed_id.occurrence
            if run not in runs:
                runs[run] = record, collections.Counter()
            runs[run][1][parsed_id.step] += progress / 100
        return runs

    def _core_ms_left(self, record, occurrence, steps):
        """Return the work that is left, in core-milliseconds."""
        workflow, core_ms = record.workflow, 0.0
        for number, step in enumerate(workflow.steps):
            left = _tasks_left(record, occurrence, number) - steps[number]
            if left > 0:
                run_ms = self._run_times.estimate(workflow, number).run_ms
                core_ms += left * step.needs.millicores * run_ms / 1000
        return core_ms

    def _arrange(self, keys):
        """Return the workflows in order, with their last places in mind.

        :param keys: Class and work of each workflow's occurrence.
        """
        known = [run for run in self._places if run in keys]
        new = sorted(
            keys.keys() - set(known), key=lambda run: (keys[run], run)
        )
        places = []
        for run in known:
            self.overtakes += _insert(places, run, keys, OVERTAKE_MARGIN)
        for run in new:
            _insert(places, run, keys, 0.0)
        return places


def _insert(places, run, keys, margin):
    """Insert an occurrence in front of those that it overtakes.

    :param margin: Share of another one's work by which it has to have less.
    :returns: Number of those overtaken.
    """
    own_class, core_ms = keys[run]
    place = len(places)
    while place:
        other_class, other_ms = keys[places[place - 1]]
        has_less = core_ms < other_ms * (1 - margin)
        if own_class > other_class or (
            own_class == other_class and not has_less
        ):
            break
        place -= 1
    overtaken = len(places) - place
    places.insert(place, run)
    return overtaken


def _by_urgency(record, occurrence, steps):
    """Return the names of running steps, the most urgent one first.

    Steps that others wait for go first, and of these the one with the least
    tasks left.
    """
    workflow = record.workflow
    awaited = {
        number
        for later, step in enumerate(workflow.steps)
        if _tasks_left(record, occurrence, later)
        for number in step.after
    }
    numbers = sorted(
        steps,
        key=lambda number: (
            number not in awaited,
            _tasks_left(record, occurrence, number),
            number,
        ),
    )
    return [
        step_name(task_id(workflow.workflow_id, occurrence, number, 0))
        for number in numbers
    ]


def _tasks_left(record, occurrence, number):
    """Return the number of a step's tasks that are not done."""
    done = record.done.get(f"{occurrence}.{number}", 0)
    return max(0, record.workflow.steps[number].count - done)
