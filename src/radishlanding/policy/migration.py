"""Chooses best-effort tasks to move away from latency-critical ones."""

# Moves in one round: one for so many VMs, and this many at least. Each loses
# the work since the last checkpoint, and the next measurements should show
# its effect first.
VMS_PER_MOVE = 8
MIN_MOVES = 4


class Migration:
    """Move best-effort tasks that are slowed down to VMs that can spare more.

    Where best-effort tasks take more headroom than the serving tasks can
    spare, some are slowed down until they make next to no progress; elsewhere
    they resume from their checkpoints. A task is moved once it was slow in two
    rounds in a row: what serving tasks can spare varies within a second.
    """

    __slots__ = ("_interference", "_min_idle_share", "_slow_before")

    def __init__(self, *, interference, min_idle_share):
        """Prepare the policy.

        :param interference: An :class:`Interference`.
        :param min_idle_share: Share of the processors that a task needs that
            must be idle on its new VM.
        """
        self._interference = interference
        self._min_idle_share = min_idle_share
        self._slow_before = set()

    def choose(self, tasks, loads):
        """Return the tasks to move, the most urgent first; one round.

        :param tasks: Triples of a task's record, its step and the
            :class:`VmLoad` of its VM, the most urgent first; tasks that run
            at full speed are left out.
        :param loads: :class:`VmLoad` objects; the capacity and headroom that
            a move will use are subtracted.
        """
        moves = []
        slow_before = self._slow_before
        self._slow_before = {task.task_id for task, _, _ in tasks}
        limit = max(MIN_MOVES, len(loads) // VMS_PER_MOVE)
        for task, step, load in tasks:
            if len(moves) >= limit:
                break
            if task.task_id not in slow_before or not _should_move(step, load):
                continue
            destination = self._find_destination(task, step, loads, load)
            if destination is not None:
                # A key of its own: max_per_vm is left to the planner.
                destination.add((task.task_id, 0, 0), step)
                destination.headroom_cost += self._cost(step, destination)
                load.headroom_cost -= self._cost(step, load)
                moves.append(task)
        return moves

    def _cost(self, step, load):
        return self._interference.headroom_cost(step, load.capacity)

    def _find_destination(self, task, step, loads, source):
        """Return the VM that can spare the most, None if none can."""
        min_idle_millicores = step.needs.millicores * self._min_idle_share
        fitting = [
            load
            for load in loads
            if load.pool == source.pool
            and load.vm != source.vm
            and load.idle_millicores >= min_idle_millicores
            and self._spares(load, step)
            and load.can_fit((task.task_id, 0, 0), step)
        ]
        return max(
            fitting,
            key=lambda load: (
                not load.serving_tasks,
                load.spare_headroom - load.headroom_cost,
            ),
            default=None,
        )

    def _spares(self, load, step):
        return (
            not load.serving_tasks
            or load.headroom_cost + self._cost(step, load)
            <= load.spare_headroom
        )


def _should_move(step, load):
    return (
        step.fills
        and step.checkpointing
        and not step.gang
        and load.serving_tasks > 0
        and load.headroom_cost > load.spare_headroom
    )
