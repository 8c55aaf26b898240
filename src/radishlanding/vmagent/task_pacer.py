"""Paces the filling tasks of one worker."""

import trio

from radishlanding.observe import EventLog
from radishlanding.policy import FULL_PERCENT
from radishlanding.policy import headroom_of
from radishlanding.policy import PaceController
from radishlanding.policy import PRIOR_WEIGHT
from radishlanding.vm import boot_clock_s
from radishlanding.vmagent.latency_monitor import LatencyMonitor
from radishlanding.worker import WorkerUnavailable

# A new pace shows in figures that cover half a second.
CONTROL_PAUSE_S = 0.6
# A pace that was carried out late is set right by the next call.
REPEAT_S = 3.0

_log = EventLog("radishlanding.vmagent")


class TaskPacer:
    """Keep the tail latency of serving tasks within their bounds."""

    __slots__ = (
        "_control",
        "_counters",
        "_repeat_s",
        "_seat",
        "_watch",
        "_weights",
    )

    def __init__(self, *, seat, counters):
        """Prepare; :meth:`run` controls.

        :param seat: The :class:`WorkerSupervisor`.
        :param counters: Counts of the process.
        """
        self._control = PaceController()
        self._counters = counters
        self._watch = LatencyMonitor(vm=seat.vm, counters=counters)
        self._repeat_s = 0.0
        self._seat = seat
        self._weights = {}

    def learn(self, weights):
        """Take what the leader knows of images that fill the VM.

        :param weights: :class:`radishlanding.message.ImageWeight` objects.
        """
        self._weights.update({item.image: item for item in weights})

    def _is_light(self, task):
        known = self._weights.get(task.order.image)
        return known is not None and known.is_light

    def _press(self, task, millicores):
        """Return the headroom that a filling task takes with processors."""
        known = self._weights.get(task.order.image)
        weight = PRIOR_WEIGHT if known is None else known.weight
        capacity = self._seat.report.capacity.millicores
        # A worker that tells no capacity counts as filled by one task.
        return weight * millicores / capacity if capacity else weight

    def _percents(self, fillers):
        """Return the pace of each filling task, by task and attempt.

        Among heavy tasks those go first that are nearest to their end.
        """
        control = self._control
        heavy = sorted(
            (task for task in fillers if not self._is_light(task)),
            key=lambda task: (-task.progress, task.taken_s, task.key),
        )
        percents = {task.key: control.light_percent for task in fillers}
        presses = [self._press(task, task.order.millicores) for task in heavy]
        for task, percent in zip(
            heavy, control.heavy_percents(presses), strict=True
        ):
            percents[task.key] = percent
        return percents

    @property
    def is_needed(self):
        """Return whether tasks serve beside tasks that fill."""
        return self._worst_share() > 0 and bool(self._fillers())

    def _serving(self):
        return [
            task
            for task in self._seat.table.active()
            if task.order is not None
            and task.order.latency_target_ms
            and task.is_confirmed
        ]

    def _worst_share(self):
        return max((task.latency_share for task in self._serving()), default=0)

    def _fillers(self):
        return [
            task
            for task in self._seat.table.active()
            if task.order is not None
            and task.order.fills
            and task.is_confirmed
            and not task.is_stopping
        ]

    async def run(self):
        """Control the pace until cancelled."""
        while True:
            await trio.sleep(CONTROL_PAUSE_S)
            fillers = self._fillers()
            self._observe(fillers)
            self._decide(fillers)
            async with trio.open_nursery() as nursery:
                for task, percent in self._changes(fillers):
                    nursery.start_soon(self._tell, task, percent)

    def _changes(self, fillers):
        """Return the tasks to tell, with their paces."""
        is_due = boot_clock_s() > self._repeat_s
        if is_due:
            self._repeat_s = boot_clock_s() + REPEAT_S
        percents = self._percents(fillers)
        return [
            (task, percents[task.key])
            for task in fillers
            if task.pace_percent != percents[task.key]
            or (is_due and task.pace_percent != FULL_PERCENT)
        ]

    def _observe(self, fillers):
        active = self._seat.table.active()
        self._watch.observe(
            self._serving(),
            fillers,
            unknown=sum(task.order is None for task in active),
            now_s=boot_clock_s(),
        )

    def _decide(self, fillers):
        control = self._control
        share = self._worst_share()
        before = (control.budget > 0, control.light_percent)
        heavy = [task for task in fillers if not self._is_light(task)]
        control.update(
            headroom_of(share) if share else None,
            heavy_count=len(heavy),
            heavy_cost=sum(self._press(task, task.gauge) for task in heavy),
        )
        after = (control.budget > 0, control.light_percent)
        if fillers and after != before:
            _log.info(
                "pace_changed",
                vm=self._seat.vm,
                heavy_budget=f"{control.budget:.2f}",
                light_percent=control.light_percent,
                share=f"{share:.2f}",
                tasks=len(fillers),
                heavy=len(heavy),
            )

    async def apply(self, task):
        """Tell the worker the present pace of a new filling task."""
        percent = self._percents(self._fillers()).get(task.key)
        if percent is not None and percent != task.pace_percent:
            await self._tell(task, percent)

    async def _tell(self, task, percent):
        sent_s, before = boot_clock_s(), task.pace_percent
        try:
            is_taken = await self._seat.worker.pace(
                task.task_id,
                task.attempt,
                percent=percent,
                fence=self._seat.fence,
            )
        except WorkerUnavailable as exc:
            self._counters.add("pace_unanswered")
            _log.warning(
                "pace_unanswered",
                task=task.task_id,
                attempt=task.attempt,
                vm=self._seat.vm,
                percent=percent,
                reason=exc,
            )
            return
        now_s = boot_clock_s()
        self._counters.time("pace_order", since_s=sent_s, now_s=now_s)
        if is_taken:
            task.pace_percent = percent
        if before != percent:
            _log.info(
                "pace_told",
                task=task.task_id,
                attempt=task.attempt,
                vm=self._seat.vm,
                percent=percent,
                before=before,
                taken=is_taken,
                took_ms=int((now_s - sent_s) * 1000),
            )
