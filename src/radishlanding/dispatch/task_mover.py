"""Moves running tasks to other VMs."""

from radishlanding.dispatch.move_candidates import MoveCandidates
from radishlanding.dispatch.wall_clock import now_ms
from radishlanding.observe import EventLog
from radishlanding.policy import Migration
from radishlanding.policy import MIN_IDLE_SHARE
from radishlanding.policy import MoveGains
from radishlanding.policy import StragglerMitigation
from radishlanding.vm import boot_clock_s
from radishlanding.workflow import WorkflowPhase

_log = EventLog("radishlanding.dispatch")


class TaskMover:
    """Move tasks that are stuck or interfere with serving tasks.

    A task is moved by stopping it; its next attempt is placed as usual.
    """

    __slots__ = (
        "_candidates",
        "_counters",
        "_fleet",
        "_gains",
        "_migration",
        "_order_sender",
        "_planner",
        "_registry",
        "_site_watch",
        "_straggler_mitigation",
        "_stuck_attempts",
    )

    def __init__(
        self,
        *,
        registry,
        fleet,
        order_sender,
        planner,
        ranker,
        run_times,
        interference,
        site_watch,
        counters,
    ):
        """Initialise the mover.

        :param registry: The :class:`radishlanding.workflow.WorkflowRegistry`.
        :param fleet: The :class:`Fleet`.
        :param order_sender: The :class:`OrderSender`.
        :param planner: Planner that ranks workflows by urgency.
        :param ranker: The :class:`TaskRanker`.
        :param run_times: A :class:`radishlanding.policy.RunTimes`.
        :param interference: A :class:`radishlanding.policy.Interference`.
        :param site_watch: A :class:`SiteWatch`.
        :param counters: Metrics counters of the process.
        """
        self._candidates = MoveCandidates(
            fleet=fleet, ranker=ranker, run_times=run_times
        )
        self._counters = counters
        self._fleet = fleet
        self._gains = MoveGains()
        self._migration = Migration(
            interference=interference, min_idle_share=MIN_IDLE_SHARE
        )
        self._order_sender = order_sender
        self._planner = planner
        self._registry = registry
        self._straggler_mitigation = StragglerMitigation()
        # Attempts that were stopped as stuck, by task.
        self._stuck_attempts = {}
        self._site_watch = site_watch

    def rebalance(self):
        """Stop tasks that gain from another VM; to be called every second."""
        self._count_gains()
        loads = self._fleet.loads(self._site_watch.site)
        stuck = self._fleet.stuck_progress()
        if stuck:
            tasks = self._by_urgency(self._fleet.all_loads())
            for task in self._straggler_mitigation.choose(tasks, loads, stuck):
                if not self._migration.has_moved(task):
                    self._stuck_attempts[task.task_id] = task.attempt
                    self._stop(task, "stuck")
            self._fleet.ignore_stuck(self._straggler_mitigation.misestimated)
        self._prune()
        movable = [
            item
            for item in self._candidates.find(loads)
            if not self._was_stuck(item.task)
        ]
        self._migrate(movable, loads)

    def _prune(self):
        """Drop what is held of tasks that cannot run again."""
        for holder in (
            self._migration,
            self._planner,
            self._straggler_mitigation,
        ):
            holder.prune(self._is_open)
        self._stuck_attempts = {
            task_id: attempt
            for task_id, attempt in self._stuck_attempts.items()
            if self._is_open(task_id)
        }

    def _was_stuck(self, task):
        """Return whether an attempt was stopped as stuck."""
        return self._stuck_attempts.get(task.task_id) == task.attempt

    def _migrate(self, tasks, loads):
        for move in self._migration.choose(tasks, loads):
            self._stop(
                move.task,
                "slowed",
                here_ms=int(move.here_ms),
                there_ms=int(move.there_ms),
            )
            self._gains.record(move, now_s=boot_clock_s())
            self._counters.add("move_gain_predicted_ms", int(move.gain_ms))

    def _count_gains(self):
        """Count how much sooner moved tasks ended, to the second."""
        gains = self._gains.collect(self._is_done, now_s=boot_clock_s())
        for task_id, gain_ms in gains.items():
            name = "move_gain_ms" if gain_ms > 0 else "move_loss_ms"
            self._counters.add(name, int(abs(gain_ms)))
            self._counters.add("moved_tasks_done")
            _log.info("move_ended", task=task_id, gain_ms=int(gain_ms))

    def _is_done(self, task_id):
        """Return whether a task is done, None if it will not be."""
        record, task = self._registry.find(task_id)
        if record is None:
            return None
        if record.phase.has_ended:
            return record.phase == WorkflowPhase.COMPLETED or None
        return task is not None and task.is_done

    def _is_open(self, task_id):
        return self._is_done(task_id) is False

    def _by_urgency(self, loads):
        """Return triples of running task, step and load by urgency."""
        at_ms = now_ms()
        tasks = sorted(
            self._fleet.running_tasks(loads),
            key=lambda item: self._planner.rank(item[0], now_ms=at_ms),
        )
        return [item[1:] for item in tasks]

    def _stop(self, task, reason, **figures):
        """Stop a task, so that it is placed elsewhere."""
        _log.info(
            "task_moves",
            task=task.task_id,
            attempt=task.attempt,
            vm=task.vm,
            reason=reason,
            **figures,
        )
        self._counters.add(f"moves_{reason}")
        self._planner.avoid(task.task_id, task.vm)
        self._order_sender.stop(self._fleet.sessions[task.vm], [task])
