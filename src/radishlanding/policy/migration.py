"""Chooses best-effort tasks to move away from latency-critical ones."""

# Moves in one round. Each loses the work since the last checkpoint, and the
# next measurements should show its effect first.
MAX_MOVES = 4


class Migration:
    """Move interfering best-effort tasks to VMs without serving tasks.

    Where they take more headroom than the serving tasks can spare, they are
    slowed down until they make next to no progress; elsewhere they resume
    from their checkpoints.
    """

    __slots__ = ("_interference", "_min_idle_share")

    def __init__(self, *, interference, min_idle_share):
        """Prepare the policy.

        :param interference: An :class:`Interference`.
        :param min_idle_share: Share of the processors that a task needs that
            must be idle on its new VM.
        """
        self._interference = interference
        self._min_idle_share = min_idle_share

    def choose(self, tasks, loads):
        """Return the tasks to move, the most urgent first.

        :param tasks: Triples of a task's record, its step and the
            :class:`VmLoad` of its VM, the most urgent first.
        :param loads: :class:`VmLoad` objects; the capacity that a move will
            use is subtracted.
        """
        moves = []
        for task, step, load in tasks:
            if len(moves) >= MAX_MOVES:
                break
            if not self._should_move(step, load):
                continue
            destination = self._find_destination(task, step, loads, load.pool)
            if destination is not None:
                # A key of its own: max_per_vm is left to the planner.
                destination.add((task.task_id, 0, 0), step)
                moves.append(task)
        return moves

    def _should_move(self, step, load):
        return (
            step.fills
            and step.checkpointing
            and not step.gang
            and load.serving_tasks > 0
            and load.headroom_cost > load.spare_headroom
            and not self._interference.is_light(step.image)
        )

    def _find_destination(self, task, step, loads, pool):
        min_idle_millicores = step.needs.millicores * self._min_idle_share
        for load in loads:
            if (
                load.pool == pool
                and not load.serving_tasks
                and load.idle_millicores >= min_idle_millicores
                and load.can_fit((task.task_id, 0, 0), step)
            ):
                return load
        return None
