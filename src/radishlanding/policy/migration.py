"""Chooses best-effort tasks to move where they end sooner."""

import collections
import math

from radishlanding.policy.headroom_schedule import end_times_ms
from radishlanding.policy.move import Move
from radishlanding.policy.vm_selector import MAX_LACK
from radishlanding.policy.vm_trust import FULL_TRUST

# Moves in one round: one for so many VMs, and this many at least. The next
# measurements should show their effect before there are more.
VMS_PER_MOVE = 8
MIN_MOVES = 4
# Time to stop a task, record its end, place it, start it again and restore
# its checkpoint: about a second, and 250 to 600 ms to restore.
MOVE_MS = 1500.0
# A move has to end a task sooner by this much. The run time of a task that
# starts again from nothing may differ by this share from that of its siblings.
MIN_GAIN_MS = 1000.0
RESTART_SPREAD = 0.15
# Each move costs a start and an entry in the log, and figures that were wrong
# twice are likely wrong again.
MAX_MOVES_PER_TASK = 3
# An attempt first restores its checkpoint, and its reports lag.
MIN_AGE_MS = 2000.0
# A task below this share of its full speed is slow.
SLOW_PACE = 0.4
# A task is slow as well if it takes this multiple of its siblings' run time.
# Data on another rack takes 1.5 times as long.
SLOW_FACTOR = 2.0
# Rounds in a row for which a task has to be slow, as what serving tasks can
# spare varies within a second.
MIN_SLOW_ROUNDS = 2
# Rounds after which the pace of a slow task counts more than the headroom
# that there should be for it.
STEADY_ROUNDS = 4
MIN_PACE = 0.1


class Migration:
    """Move best-effort tasks that are slowed down to VMs that can spare more.

    Where best-effort tasks take more headroom than the serving tasks can
    spare, some are slowed down until they make next to no progress; elsewhere
    they resume from their checkpoints. Tasks on slow workers are moved as
    well. A task is moved if it would end sooner elsewhere by a margin: by the
    run time that is left, the headroom that tasks with smaller ranks leave it
    on its VM, and the time that a move takes.
    """

    __slots__ = (
        "_interference",
        "_min_idle_share",
        "_move_counts",
        "_moved_attempts",
        "_slow_rounds",
    )

    def __init__(self, *, interference, min_idle_share):
        """Prepare the policy.

        :param interference: An :class:`Interference`.
        :param min_idle_share: Share of the processors that a task needs that
            must be idle on its new VM.
        """
        self._interference = interference
        self._min_idle_share = min_idle_share
        self._move_counts = collections.Counter()
        # A stopped attempt is reported as running until its end is known.
        self._moved_attempts = {}
        self._slow_rounds = collections.Counter()

    def prune(self, is_open):
        """Forget the moves of tasks that cannot run again.

        :param is_open: Callable that takes the id of a task.
        """
        for task_id in [key for key in self._move_counts if not is_open(key)]:
            del self._move_counts[task_id], self._moved_attempts[task_id]

    def has_moved(self, task):
        """Return whether an attempt was chosen for a move.

        :param task: Record of the task.
        """
        return self._moved_attempts.get(task.task_id) == task.attempt

    def choose(self, tasks, loads):
        """Return the moves to make, the most urgent first; one round.

        :param tasks: The :class:`MovableTask` objects of all best-effort
            tasks that run on the VMs of ``loads``.
        :param loads: :class:`VmLoad` objects; the capacity and headroom that
            a move will use are subtracted.
        :returns: :class:`Move` objects.
        """
        self._count_slow_rounds(tasks)
        by_vm = collections.defaultdict(list)
        for item in sorted(tasks, key=self._precedence):
            by_vm[item.load.vm].append(item)
        limit = max(MIN_MOVES, len(loads) // VMS_PER_MOVE)
        moves, without_destination = [], set()
        by_room = sorted(loads, key=_room, reverse=True)
        for item in sorted(filter(self._may_move, tasks), key=_urgency):
            if len(moves) >= limit:
                break
            # Tasks of one step fit the same VMs, but for their own.
            if id(item.step) in without_destination:
                continue
            move = self._find_move(item, by_vm)
            if move is None:
                continue
            destination = self._find_destination(item, by_room, by_vm)
            if destination is None:
                without_destination.add(id(item.step))
                continue
            # A key of its own: max_per_vm is left to the planner.
            destination.add((item.task.task_id, 0, 0), item.step)
            destination.headroom_cost += self._cost(item.step, destination)
            item.load.headroom_cost -= self._cost(item.step, item.load)
            by_room.sort(key=_room, reverse=True)
            by_vm[item.load.vm].remove(item)
            self._move_counts[item.task.task_id] += 1
            self._moved_attempts[item.task.task_id] = item.task.attempt
            moves.append(move)
        return moves

    def _count_slow_rounds(self, tasks):
        before = self._slow_rounds
        self._slow_rounds = collections.Counter(
            {
                item.task.task_id: before[item.task.task_id] + 1
                for item in tasks
                if _is_slow(item)
            }
        )

    def _may_move(self, item):
        task_id = item.task.task_id
        return (
            self._slow_rounds[task_id] >= MIN_SLOW_ROUNDS
            and item.age_ms >= MIN_AGE_MS
            and not item.step.gang
            and not self.has_moved(item.task)
            and self._move_counts[task_id] < MAX_MOVES_PER_TASK
        )

    def _find_move(self, item, by_vm):
        """Return the move of a task, None if it gains too little."""
        move = Move(
            task=item.task,
            here_ms=self._here_ms(item, by_vm[item.load.vm]),
            there_ms=MOVE_MS + item.elsewhere_ms,
        )
        margin_ms = MIN_GAIN_MS
        if not item.step.checkpointing:
            margin_ms += RESTART_SPREAD * item.elsewhere_ms
        return move if move.gain_ms >= margin_ms else None

    def _here_ms(self, item, neighbours):
        """Return when a task ends where it is, in milliseconds.

        :param neighbours: Best-effort tasks of its VM, by precedence.
        """
        load = item.load
        budget = load.spare_headroom if load.serving_tasks else math.inf
        works = [
            (self._cost(other.step, load), other.left_ms)
            for other in neighbours
        ]
        here_ms = end_times_ms(works, budget)[neighbours.index(item)]
        if self._slow_rounds[item.task.task_id] >= STEADY_ROUNDS:
            steady_ms = item.left_ms / max(MIN_PACE, item.pace)
            here_ms = max(here_ms, steady_ms)
        return here_ms

    def _precedence(self, item):
        """Return the sort key by which an agent divides the headroom."""
        is_light = self._interference.is_light(item.step.image)
        return not is_light, item.rank, item.left_ms, item.task.task_id

    def _cost(self, step, load):
        return self._interference.headroom_cost(step, load.capacity)

    def _find_destination(self, item, by_room, by_vm):
        """Return the trusted VM that can spare the most, None if none can.

        The last tasks of a step may take the headroom of tasks behind them
        in precedence.

        :param by_room: :class:`VmLoad` objects, the one with the most room
            first.
        """
        step = item.step
        min_idle_millicores = step.needs.millicores * self._min_idle_share
        max_lack = MAX_LACK if item.is_last else 0.0
        for load in by_room:
            if _lack(load) > max_lack:
                break
            if (
                load.pool == item.load.pool
                and load.vm != item.load.vm
                and load.trust >= FULL_TRUST
                and load.idle_millicores >= min_idle_millicores
                and self._spares(load, item, by_vm.get(load.vm, ()))
                and load.can_fit((item.task.task_id, 0, 0), step)
            ):
                return load
        return None

    def _spares(self, load, item, others):
        """Return whether a VM has headroom for a task.

        :param others: The :class:`MovableTask` objects of the VM.
        """
        if not load.serving_tasks:
            return True
        lack = _lack(load) + self._cost(item.step, load)
        if item.is_last and 0 < lack <= MAX_LACK:
            lack -= sum(
                self._cost(other.step, load)
                for other in others
                if other.rank > item.rank
            )
        return lack <= 0


def _lack(load):
    """Return the headroom that the tasks of a VM lack, negative for none."""
    if not load.serving_tasks:
        return -math.inf
    return load.headroom_cost - load.spare_headroom


def _room(load):
    """Return the sort key of VMs by the headroom that they have left."""
    return not load.serving_tasks, load.spare_headroom - load.headroom_cost


def _is_slow(item):
    return item.pace < SLOW_PACE or (
        item.left_ms > SLOW_FACTOR * item.elsewhere_ms
    )


def _urgency(item):
    """Return the sort key by which tasks are moved.

    Of one step, the one that its VM serves last is what the step waits for.
    """
    return item.rank, -item.left_ms, item.task.task_id
