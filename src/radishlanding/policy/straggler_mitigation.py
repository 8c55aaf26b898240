"""Chooses stuck tasks to be restarted on other VMs."""

# A stuck task runs at less than a quarter of its estimated speed. Without
# checkpoints a restart ends sooner only up to this progress.
MAX_RESTART_PERCENT = 70
# Moves in one round; a site whose VMs are all slow gains nothing by them.
MAX_MOVES = 8


class StragglerMitigation:
    """Move tasks away from workers that are stuck or slow.

    Each task is moved once at most: a task that is slow on every VM, as its
    estimate is wrong, would lose its work again and again.
    """

    __slots__ = ("_moved",)

    def __init__(self):
        """Start without moves."""
        self._moved = set()

    def choose(self, tasks, loads, stuck):
        """Return the tasks to stop, so that they are placed elsewhere.

        :param tasks: Triples of a task's record, its step and the
            :class:`VmLoad` of its VM, the most urgent first.
        :param loads: :class:`VmLoad` objects; the capacity that a move will
            use is subtracted.
        :param stuck: Progress in percent of each stuck task, by task id.
        """
        moves = []
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


def _find_destination(step, loads, pool, stuck_vms):
    for load in loads:
        if (
            load.pool == pool
            and load.vm not in stuck_vms
            and load.can_fit(("", 0, 0), step)
        ):
            return load
    return None
