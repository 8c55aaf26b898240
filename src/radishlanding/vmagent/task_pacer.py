"""Paces the best-effort tasks of one worker."""

import math

import trio

from radishlanding.observe import EventLog
from radishlanding.policy import FULL_PERCENT
from radishlanding.policy import headroom_of
from radishlanding.policy import PaceController
from radishlanding.policy import PRIOR_WEIGHT
from radishlanding.vm import boot_clock_s
from radishlanding.vmagent.latency_monitor import LatencyMonitor
from radishlanding.worker import WorkerUnavailable

# Latency figures cover half a second: the next one shows a new pace's effect.
CONTROL_INTERVAL_S = 0.6
# Paces below full are repeated, as a delayed call may undo a newer one; full
# ones of tasks of which a call got no answer, too.
REPEAT_INTERVAL_S = 3.0
# The leader renews its ranks with each report, at least every second. Older
# ones may name tasks first that no other VM favours any more.
MAX_RANK_AGE_S = 3.0

_log = EventLog("radishlanding.vmagent")


class TaskPacer:
    """Slow best-effort tasks to keep serving tasks within their targets.

    Serving tasks have a latency target. Best-effort tasks, whose orders set
    ``fills``, use the processors that others leave. They are light if their
    image is known to interfere little with serving tasks, and heavy if not.
    """

    __slots__ = (
        "_controller",
        "_counters",
        "_latency_monitor",
        "_ranked_at_s",
        "_ranks",
        "_repeat_at_s",
        "_supervisor",
        "_unanswered",
        "_weights",
    )

    def __init__(self, *, supervisor, counters):
        """Create the pacer; :meth:`run` starts the control loop.

        :param supervisor: The :class:`WorkerSupervisor`.
        :param counters: The process's :class:`radishlanding.observe.Counters`.
        """
        self._controller = PaceController()
        self._counters = counters
        self._latency_monitor = LatencyMonitor(
            vm=supervisor.vm, counters=counters
        )
        self._ranked_at_s = 0.0
        self._ranks = {}
        self._repeat_at_s = 0.0
        self._supervisor = supervisor
        # Attempts of which a pace call got no answer, and whether it was the
        # last one: any of these calls may be carried out late.
        self._unanswered = {}
        self._weights = {}

    def update_weights(self, weights):
        """Store the leader's weights of best-effort images.

        :param weights: :class:`radishlanding.message.ImageWeight` objects.
        """
        self._weights.update({item.image: item for item in weights})

    def update_precedence(self, precedence):
        """Store the leader's ranks of best-effort tasks.

        An empty list leaves the last ranks in force until they are too old,
        as a new leader has none at first.

        :param precedence: :class:`radishlanding.message.TaskPrecedence`
            objects.
        """
        if precedence:
            self._ranks = {item.task_id: item.rank for item in precedence}
            self._ranked_at_s = boot_clock_s()

    def _is_light(self, task):
        image = self._weights.get(task.order.image)
        return image is not None and image.is_light

    def _headroom_cost(self, task, millicores):
        """Return the headroom that a best-effort task takes.

        :param task: The :class:`TaskAttempt`.
        :param millicores: Processors that it uses.
        """
        image = self._weights.get(task.order.image)
        weight = PRIOR_WEIGHT if image is None else image.weight
        capacity = self._supervisor.report.capacity.millicores
        # Without a known capacity, one task counts as using all of it.
        return weight * millicores / capacity if capacity else weight

    def _percents(self, best_effort):
        """Return the pace of each best-effort task by its key, in percent.

        Tasks have precedence by the leader's ranks, and those without a rank
        follow. Of the same rank, or without recent ranks, those that have
        made the most progress go first.
        """
        is_ranked = boot_clock_s() - self._ranked_at_s <= MAX_RANK_AGE_S
        ranks = self._ranks if is_ranked else {}
        in_order = sorted(
            best_effort,
            key=lambda task: (
                ranks.get(task.task_id, math.inf),
                -task.progress,
                task.accepted_s,
                task.key,
            ),
        )
        heavy = [task for task in in_order if not self._is_light(task)]
        light = [task for task in in_order if self._is_light(task)]
        percents = {}
        for tasks, divide in (
            (heavy, self._controller.heavy_percents),
            (light, self._controller.light_percents),
        ):
            costs = [
                self._headroom_cost(task, task.order.millicores)
                for task in tasks
            ]
            keys = [task.key for task in tasks]
            percents.update(zip(keys, divide(costs), strict=True))
        return percents

    @property
    def is_active(self):
        """Return whether serving and best-effort tasks share the worker."""
        return self._worst_share() > 0 and bool(self._best_effort())

    def _serving(self):
        return [
            task
            for task in self._supervisor.table.active()
            if task.order is not None
            and task.order.latency_target_ms
            and task.is_confirmed
        ]

    def _worst_share(self):
        return max((task.latency_share for task in self._serving()), default=0)

    def _best_effort(self):
        return [
            task
            for task in self._supervisor.table.active()
            if task.order is not None
            and task.order.fills
            and task.is_confirmed
            and not task.is_stopping
        ]

    async def run(self):
        """Run the control loop until cancelled."""
        while True:
            await trio.sleep(CONTROL_INTERVAL_S)
            best_effort = self._best_effort()
            self._observe(best_effort)
            self._update_control(best_effort)
            await self._set_paces(self._changes(best_effort))

    def _changes(self, best_effort):
        """Return pairs of a task and the pace to send, in percent."""
        is_due = boot_clock_s() > self._repeat_at_s
        if is_due:
            self._repeat_at_s = boot_clock_s() + REPEAT_INTERVAL_S
        percents = self._percents(best_effort)
        self._unanswered = {
            key: is_last
            for key, is_last in self._unanswered.items()
            if key in percents
        }
        return [
            (task, percents[task.key])
            for task in best_effort
            if task.pace_percent != percents[task.key]
            or self._unanswered.get(task.key, False)
            or (is_due and self._may_change(task))
        ]

    def _may_change(self, task):
        """Return whether an earlier call may still change a task's pace."""
        return (
            task.pace_percent != FULL_PERCENT or task.key in self._unanswered
        )

    def _observe(self, best_effort):
        active = self._supervisor.table.active()
        self._latency_monitor.observe(
            self._serving(),
            best_effort,
            unknown=sum(task.order is None for task in active),
            now_s=boot_clock_s(),
        )

    def _update_control(self, best_effort):
        controller = self._controller
        share = self._worst_share()
        before = (controller.budget > 0, controller.light_percent)
        heavy = [task for task in best_effort if not self._is_light(task)]
        controller.update(
            headroom_of(share) if share else None,
            heavy_count=len(heavy),
            heavy_cost=sum(
                self._headroom_cost(task, task.gauge) for task in heavy
            ),
        )
        after = (controller.budget > 0, controller.light_percent)
        if best_effort and after != before:
            _log.info(
                "pace_changed",
                vm=self._supervisor.vm,
                heavy_budget=f"{controller.budget:.2f}",
                light_percent=controller.light_percent,
                share=f"{share:.2f}",
                tasks=len(best_effort),
                heavy=len(heavy),
            )

    async def apply_to(self, task):
        """Set the current pace of a task that has just started.

        If it takes precedence over others, they are slowed down at once.

        :param task: A :class:`TaskAttempt` of a best-effort task.
        """
        best_effort = self._best_effort()
        percents = self._percents(best_effort)
        await self._set_paces(
            [
                (other, percents[other.key])
                for other in best_effort
                if other is task or percents[other.key] < _pace(other)
                if percents[other.key] != other.pace_percent
            ]
        )

    async def _set_paces(self, changes):
        """Slow tasks down before others speed up in their place.

        :param changes: Pairs of a task and its pace, in percent.
        """
        slower = [item for item in changes if item[1] < _pace(item[0])]
        faster = [item for item in changes if item not in slower]
        for group in (slower, faster):
            async with trio.open_nursery() as nursery:
                for task, percent in group:
                    nursery.start_soon(self._set_pace, task, percent)

    async def _set_pace(self, task, percent):
        sent_s, before = boot_clock_s(), task.pace_percent
        try:
            is_taken = await self._supervisor.worker.pace(
                task.task_id,
                task.attempt,
                percent=percent,
                fence=self._supervisor.fence,
            )
        except WorkerUnavailable as exc:
            if exc.was_sent:
                self._unanswered[task.key] = True
            self._counters.add("pace_unanswered")
            _log.warning(
                "pace_unanswered",
                task=task.task_id,
                attempt=task.attempt,
                vm=self._supervisor.vm,
                percent=percent,
                reason=exc,
            )
            return
        if task.key in self._unanswered:
            self._unanswered[task.key] = False
        now_s = boot_clock_s()
        self._counters.record_duration(
            "pace_order", since_s=sent_s, now_s=now_s
        )
        if is_taken:
            task.set_pace(percent, now_s=now_s)
        if before != percent:
            _log.info(
                "pace_told",
                task=task.task_id,
                attempt=task.attempt,
                vm=self._supervisor.vm,
                percent=percent,
                before=before,
                taken=is_taken,
                took_ms=int((now_s - sent_s) * 1000),
            )


def _pace(task):
    """Return the pace of a task in percent, the full one if unknown."""
    return FULL_PERCENT if task.pace_percent is None else task.pace_percent
