"""Moves running tasks to other VMs."""

from radishlanding.dispatch.wall_clock import now_ms
from radishlanding.observe import EventLog
from radishlanding.policy import Migration
from radishlanding.policy import MIN_IDLE_SHARE
from radishlanding.policy import StragglerMitigation

_log = EventLog("radishlanding.dispatch")


class TaskMover:
    """Move tasks that are stuck or interfere with serving tasks.

    A task is moved by stopping it; its next attempt is placed as usual.
    """

    __slots__ = (
        "_fleet",
        "_migration",
        "_order_sender",
        "_planner",
        "_site_watch",
        "_straggler_mitigation",
    )

    def __init__(
        self, *, fleet, order_sender, planner, interference, site_watch
    ):
        """Initialise the mover.

        :param fleet: The :class:`Fleet`.
        :param order_sender: The :class:`OrderSender`.
        :param planner: Planner that ranks workflows by urgency.
        :param interference: A :class:`radishlanding.policy.Interference`.
        :param site_watch: A :class:`SiteWatch`.
        """
        self._fleet = fleet
        self._migration = Migration(
            interference=interference, min_idle_share=MIN_IDLE_SHARE
        )
        self._order_sender = order_sender
        self._planner = planner
        self._straggler_mitigation = StragglerMitigation()
        self._site_watch = site_watch

    def rebalance(self):
        """Stop tasks that gain from another VM; to be called every second."""
        loads = self._fleet.loads(self._site_watch.site)
        stuck = self._fleet.stuck_progress()
        if stuck:
            tasks = self._by_urgency(self._fleet.all_loads())
            self._move(
                self._straggler_mitigation.choose(tasks, loads, stuck), "stuck"
            )
            self._fleet.ignore_stuck(self._straggler_mitigation.misestimated)
        slowed = self._by_urgency(loads, slowed_only=True)
        self._move(self._migration.choose(slowed, loads), "slowed")

    def _by_urgency(self, loads, *, slowed_only=False):
        """Return triples of running task, step and load by urgency.

        :param slowed_only: Whether to leave out all but the best-effort tasks
            that use far less than they could.
        """
        at_ms = now_ms()
        tasks = sorted(
            self._fleet.running_tasks(loads, slowed_only=slowed_only),
            key=lambda item: self._planner.rank(item[0], now_ms=at_ms),
        )
        return [item[1:] for item in tasks]

    def _move(self, tasks, reason):
        for task in tasks:
            _log.info(
                "task_moves",
                task=task.task_id,
                attempt=task.attempt,
                vm=task.vm,
                reason=reason,
            )
            self._order_sender.stop(self._fleet.sessions[task.vm], [task])
