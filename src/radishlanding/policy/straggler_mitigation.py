"""Chooses stuck tasks to be restarted on other VMs."""

import collections

# A stuck task runs at less than a quarter of its estimated speed. Without
# checkpoints a restart ends sooner only up to this progress.
MAX_RESTART_PERCENT = 70
# If more than this share of a step's tasks are stuck, on so many VMs or more,
# the step's estimate is wrong: healthy workers run most tasks at full speed.
MAX_STUCK_SHARE = 0.5
MIN_VMS_TO_COMPARE = 3
# Moves in one round; a site whose VMs are all slow gains nothing by them.
MAX_MOVES = 8


class StragglerMitigation:
    """Move tasks away from workers that are stuck or slow.

    Each task is moved once at most: a task that is slow on every VM, as its
    estimate is wrong, would lose its work again and again. Tasks that are as
    slow as most others of their step are not moved at all.
    """

    __slots__ = ("_moved", "misestimated")

    def __init__(self):
        """Start without moves."""
        self._moved = set()
        # Steps whose estimates were wrong in the last round, by the names of
        # their tasks without the index.
        self.misestimated = frozenset()

    def prune(self, is_open):
        """Forget the moves of tasks that cannot run again.

        :param is_open: Callable that takes the id of a task.
        """
        self._moved = set(filter(is_open, self._moved))

    def choose(self, tasks, loads, stuck):
        """Return the tasks to stop, so that they are placed elsewhere.

        :param tasks: Triples of a task's record, its step and the
            :class:`VmLoad` of its VM, the most urgent first.
        :param loads: :class:`VmLoad` objects; the capacity that a move will
            use is subtracted.
        :param stuck: Progress in percent of each stuck task, by task id.
        """
        moves = []
        self.misestimated = _misestimated_steps(tasks, stuck)
        stuck = {
            task_id: progress
            for task_id, progress in stuck.items()
            if step_name(task_id) not in self.misestimated
        }
        stuck_vms = {
            load.vm for task, _, load in tasks if task.task_id in stuck
        }
        for task, step, load in tasks:
            if len(moves) >= MAX_MOVES:
                break
            if not self._should_move(task, step, stuck):
                continue
            destination = _find_destination(step, loads, load.pool, stuck_vms)
            if destination is not None:
                # A key of its own: max_per_vm is left to the planner.
                destination.add((task.task_id, 0, 0), step)
                self._moved.add(task.task_id)
                moves.append(task)
        return moves

    def _should_move(self, task, step, stuck):
        return (
            task.task_id in stuck
            and task.task_id not in self._moved
            and not step.gang
            and not step.standing
            and (
                step.checkpointing
                or stuck[task.task_id] <= MAX_RESTART_PERCENT
            )
        )


def step_name(task_id):
    """Return the name of a task's step."""
    return task_id.rpartition(".")[0]


def _misestimated_steps(tasks, stuck):
    """Return the names of steps most of whose tasks are stuck.

    :param tasks: Triples of a task's record, its step and its load.
    :param stuck: Progress of each stuck task by its identity.
    """
    running, slow = collections.Counter(), collections.Counter()
    vms = collections.defaultdict(set)
    for task, _, load in tasks:
        name = step_name(task.task_id)
        running[name] += 1
        if task.task_id in stuck:
            slow[name] += 1
            vms[name].add(load.vm)
    return frozenset(
        name
        for name, count in slow.items()
        if count > MAX_STUCK_SHARE * running[name]
        and len(vms[name]) >= MIN_VMS_TO_COMPARE
    )


def _find_destination(step, loads, pool, stuck_vms):
    for load in loads:
        if (
            load.pool == pool
            and load.vm not in stuck_vms
            and load.can_fit(("", 0, 0), step)
        ):
            return load
    return None
