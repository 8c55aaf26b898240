"""Ranks the best-effort tasks of all VMs in one order."""

import collections
import statistics

from radishlanding.policy.straggler_mitigation import step_name
from radishlanding.workflow import task_id

# A workflow overtakes another one of its class only with this much less work
# left for its worth. Callers' estimates and whole percents of progress vary
# by less from one round to the next.
OVERTAKE_MARGIN = 0.2
# What a workflow is worth to its caller: this share is the same for all of a
# queue, the rest is in proportion to its work.
EQUAL_WORTH_SHARE = 0.3
# A workflow of which nothing runs keeps its place for so many rounds: the
# tasks of its next step, or a moved one, need a second or two to start.
MAX_IDLE_ROUNDS = 3
# Steps whose run times are estimated in a round, on average, beyond those of
# workflows of no more steps than ORDINARY_STEPS. An estimate takes 5 us.
ESTIMATES_PER_ROUND = 1000
ORDINARY_STEPS = 50


class TaskPrecedenceOrder:
    """Order the workflows that compete for the headroom of all VMs.

    It addresses VMs whose serving tasks spare headroom for about one heavy
    task each, and workflows whose tasks are spread over many VMs. A workflow
    waits for its last task, so that the VMs have to agree which workflow goes
    first. Of one class, the workflow with the least work left for its worth
    goes first, over all its steps: others wait for it the shortest time. The
    worth counts its whole work, so that large workflows that are nearly done
    go before small ones that have just begun.

    A workflow keeps its place until another one has clearly less left.
    """

    __slots__ = (
        "_costs",
        "_idle_rounds",
        "_places",
        "_records",
        "_round",
        "_run_times",
        "overtakes",
    )

    def __init__(self, *, run_times):
        """Start without ranks.

        :param run_times: A :class:`RunTimes`.
        """
        # By workflow and occurrence, for large workflows: the round and the
        # work of one task by step, in core-milliseconds.
        self._costs = {}
        self._idle_rounds = collections.Counter()
        self._places = []
        self._records = {}
        self._round = 0
        self._run_times = run_times
        # Number of places that workflows have gained in front of others.
        self.overtakes = 0

    def rank(self, tasks, *, class_of):
        """Return the rank of each best-effort step that is ready; one round.

        Tasks of one step share a rank. Workflows are ranked while any of
        their tasks runs, and for ``MAX_IDLE_ROUNDS`` more.

        :param tasks: Tuples of a workflow's record, the
            :class:`radishlanding.workflow.TaskId` of one of its best-effort
            tasks that run, and the task's progress in percent.
        :param class_of: Callable that returns the class of a record, see
            ``CLASS_PARTS``; smaller classes go first.
        :returns: Ranks from 0 by the name of the step, see
            :func:`step_name`.
        """
        self._round += 1
        done = self._update_runs(tasks)
        work = {
            run: self._core_ms(record, run[1], done[run])
            for run, record in self._records.items()
        }
        means = self._mean_core_ms(work)
        keys = {
            run: (
                class_of(record),
                _left_per_worth(*work[run], means[record.workflow.queue]),
            )
            for run, record in self._records.items()
        }
        self._places = self._arrange(keys)
        names = []
        for run in self._places:
            names += _by_urgency(self._records[run], run[1])
        return {name: rank for rank, name in enumerate(names)}

    def _update_runs(self, tasks):
        """Update the workflows that are ranked, by their occurrences.

        :returns: By workflow and occurrence, the share of a task that is
            done, in total over the running tasks, by step.
        """
        done = collections.defaultdict(collections.Counter)
        for run in self._records:
            self._idle_rounds[run] += 1
        for record, parsed_id, progress in tasks:
            run = parsed_id.workflow_id, parsed_id.occurrence
            self._records[run] = record
            self._idle_rounds[run] = 0
            done[run][parsed_id.step] += progress / 100
        for run, record in list(self._records.items()):
            if (
                record.phase.has_ended
                or self._idle_rounds[run] > MAX_IDLE_ROUNDS
            ):
                del self._records[run], self._idle_rounds[run]
                self._costs.pop(run, None)
        return done

    def _core_ms(self, record, occurrence, done):
        """Return the work that is left and all work, in core-milliseconds."""
        workflow = record.workflow
        left_core_ms, core_ms = 0.0, 0.0
        costs = self._task_core_ms(workflow, occurrence)
        for number, step in enumerate(workflow.steps):
            task_core_ms = costs[number]
            left = record.tasks_left(occurrence, number) - done[number]
            left_core_ms += max(0.0, left) * task_core_ms
            core_ms += step.count * task_core_ms
        return left_core_ms, core_ms

    def _task_core_ms(self, workflow, occurrence):
        """Return the work of one task by step, in core-milliseconds.

        That of large workflows is kept for a number of rounds that grows
        with the number of steps of all of them.
        """
        run = workflow.workflow_id, occurrence
        if run in self._costs:
            begin, costs = self._costs[run]
            steps = sum(len(kept) for _, kept in self._costs.values())
            if self._round - begin < 1 + steps / ESTIMATES_PER_ROUND:
                return costs
        costs = [
            step.needs.millicores
            * self._run_times.estimate(workflow, number).run_ms
            / 1000
            for number, step in enumerate(workflow.steps)
        ]
        if len(costs) > ORDINARY_STEPS:
            self._costs[run] = self._round, costs
        return costs

    def _mean_core_ms(self, work):
        """Return the mean work of a workflow by queue."""
        by_queue = collections.defaultdict(list)
        for run, record in self._records.items():
            by_queue[record.workflow.queue].append(work[run][1])
        return {
            queue: statistics.fmean(figures)
            for queue, figures in by_queue.items()
        }

    def _arrange(self, keys):
        """Return the workflows in order, with their last places in mind.

        :param keys: Class, and work that is left for the worth, of each
            workflow's occurrence.
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


def _left_per_worth(left_core_ms, core_ms, mean_core_ms):
    """Return the work that is left, relative to the worth of a workflow."""
    worth = (
        EQUAL_WORTH_SHARE * mean_core_ms + (1 - EQUAL_WORTH_SHARE) * core_ms
    )
    return left_core_ms / worth if worth else 0.0


def _insert(places, run, keys, margin):
    """Insert an occurrence in front of those that it overtakes.

    :param margin: Share of another one's figure by which its own has to be
        smaller.
    :returns: Number of those overtaken.
    """
    own_class, left = keys[run]
    place = len(places)
    while place:
        other_class, other_left = keys[places[place - 1]]
        has_less = left < other_left * (1 - margin)
        if own_class > other_class or (
            own_class == other_class and not has_less
        ):
            break
        place -= 1
    overtaken = len(places) - place
    places.insert(place, run)
    return overtaken


def _by_urgency(record, occurrence):
    """Return the names of best-effort steps that are ready and not done.

    The most urgent one is the first: a step that others wait for, and of
    several ones that with the least tasks left.
    """
    workflow = record.workflow
    ready = [
        number
        for number in record.progress.ready_steps(occurrence)
        if workflow.steps[number].fills
        and record.tasks_left(occurrence, number)
    ]
    successors = workflow.shape.successors
    awaited = {
        number
        for number in ready
        if any(
            record.tasks_left(occurrence, later)
            for later in successors[number]
        )
    }
    numbers = sorted(
        ready,
        key=lambda number: (
            number not in awaited,
            record.tasks_left(occurrence, number),
            number,
        ),
    )
    return [
        step_name(task_id(workflow.workflow_id, occurrence, number, 0))
        for number in numbers
    ]
