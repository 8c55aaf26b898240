"""Decides which tasks that stand still are started again elsewhere."""

# A stuck task goes at less than a quarter of its speed. Without checkpoints
# it is started anew only while that is sooner than waiting for its end.
MAX_PROGRESS = 70
# Moves in one round; a site whose VMs are all slow gains nothing by them.
MAX_MOVES = 8


class StragglerMitigation:
    """Move tasks away from workers that stand still or are slow.

    Each task is moved once at most: one that is slow everywhere, as its
    estimate is wrong, would lose its work again and again.
    """

    __slots__ = ("_moved",)

    def __init__(self):
        """Start without moves."""
        self._moved = set()

    def choose(self, tasks, loads, stuck):
        """Return the tasks to stop, so that they go on elsewhere.

        :param tasks: Triples of a task's record, its step and the
            :class:`VmLoad` of its VM, by urgency.
        :param loads: :class:`VmLoad` objects; room that a move will take is
            counted.
        :param stuck: Progress of each stuck task by its name, in percent.
        """
        moves = []
        bad_vms = {load.vm for task, _, load in tasks if task.task_id in stuck}
        for task, step, load in tasks:
            if len(moves) >= MAX_MOVES:
                break
            if not self._should_move(task, step, stuck):
                continue
            place = _find_place(step, loads, load.pool, bad_vms)
            if place is not None:
                place.add((task.task_id, 0, 0), step)
                self._moved.add(task.task_id)
                moves.append(task)
        return moves

    def _should_move(self, task, step, stuck):
        return (
            task.task_id in stuck
            and task.task_id not in self._moved
            and not step.gang
            and not step.standing
            and (step.checkpointing or stuck[task.task_id] <= MAX_PROGRESS)
        )


def _find_place(step, loads, pool, bad_vms):
    for load in loads:
        if (
            load.pool == pool
            and load.vm not in bad_vms
            and load.can_fit(("", 0, 0), step)
        ):
            return load
    return None
