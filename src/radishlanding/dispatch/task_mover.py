"""Stops tasks that are to go on at another VM."""

from radishlanding.dispatch.wall_clock import now_ms
from radishlanding.observe import EventLog
from radishlanding.policy import Migration
from radishlanding.policy import MIN_IDLE_SHARE
from radishlanding.policy import StragglerMitigation

_log = EventLog("radishlanding.dispatch")


class TaskMover:
    """Look for tasks that disturb, or stand still, where they are.

    They are stopped; their next attempts are placed like any other.
    """

    __slots__ = (
        "_fleet",
        "_migration",
        "_order_sender",
        "_planner",
        "_rescue",
        "_site_watch",
    )

    def __init__(
        self, *, fleet, order_sender, planner, interference, site_watch
    ):
        """Prepare.

        :param fleet: The :class:`Fleet`.
        :param order_sender: The :class:`OrderSender`.
        :param planner: Ranks workflows.
        :param interference: Tells which tasks disturb.
        :param site_watch: A :class:`SiteWatch`.
        """
        self._fleet = fleet
        self._migration = Migration(
            interference=interference, min_share=MIN_IDLE_SHARE
        )
        self._order_sender = order_sender
        self._planner = planner
        self._rescue = StragglerMitigation()
        self._site_watch = site_watch

    def rebalance(self):
        """Move what gains by it; to be called once a second or so."""
        loads = self._fleet.loads(self._site_watch.site)
        stuck = self._fleet.stuck_progress()
        if stuck:
            tasks = self._by_urgency(self._fleet.all_loads())
            self._move(self._rescue.choose(tasks, loads, stuck), "stuck")
        moves = self._migration.choose(self._by_urgency(loads), loads)
        self._move(moves, "disturbs")

    def _by_urgency(self, loads):
        """Return what runs on VMs, the most urgent first."""
        at_ms = now_ms()
        tasks = sorted(
            self._fleet.running_tasks(loads),
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
