"""Decides which filling tasks move away from serving tasks."""

# Moves in one round; each costs the work since the last checkpoint, and the
# figures that follow should show what it was worth.
MAX_MOVES = 4


class Migration:
    """Move filling tasks that disturb to VMs without serving tasks.

    Beside serving tasks they are slowed down until they hardly make
    progress; with their checkpoint they go on elsewhere.
    """

    __slots__ = ("_interference", "_min_idle_share")

    def __init__(self, *, interference, min_idle_share):
        """Prepare.

        :param interference: An :class:`Interference`.
        :param min_idle_share: Share of its processors that a task must find
            idle.
        """
        self._interference = interference
        self._min_idle_share = min_idle_share

    def choose(self, tasks, loads):
        """Return the tasks to move, the most urgent first.

        :param tasks: Triples of a task's record, its step and the
            :class:`VmLoad` of its VM, by urgency.
        :param loads: :class:`VmLoad` objects; room that a move will take is
            counted.
        """
        moves = []
        for task, step, load in tasks:
            if len(moves) >= MAX_MOVES:
                break
            if not self._should_leave(step, load):
                continue
            place = self._find_place(task, step, loads, load.pool)
            if place is not None:
                place.add((task.task_id, 0, 0), step)
                moves.append(task)
        return moves

    def _should_leave(self, step, load):
        return (
            step.fills
            and step.checkpointing
            and not step.gang
            and load.serving_tasks > 0
            and not self._interference.is_light(step.image)
        )

    def _find_place(self, task, step, loads, pool):
        least = step.needs.millicores * self._min_idle_share
        for load in loads:
            if (
                load.pool == pool
                and not load.serving_tasks
                and load.idle_millicores >= least
                and load.can_fit((task.task_id, 0, 0), step)
            ):
                return load
        return None
