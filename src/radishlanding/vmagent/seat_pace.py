"""Paces the filling tasks of one worker."""

import trio

from radishlanding.observe import EventLog
from radishlanding.policy import PaceControl
from radishlanding.vm import boot_clock_s
from radishlanding.worker import WorkerUnavailable

# A new pace shows in figures that cover half a second.
CONTROL_PAUSE_S = 0.6
# A pace that was carried out late is set right by the next call.
REPEAT_S = 3.0
FULL_PERCENT = 100
# Pace at which an image shows whether it disturbs.
TRIAL_PERCENT = 60

_log = EventLog("radishlanding.vmagent")


class SeatPace:
    """Keep the tail latency of serving tasks within their bounds."""

    __slots__ = ("_control", "_repeat_s", "_seat", "_lightness")

    def __init__(self, *, seat):
        """Prepare; :meth:`run` controls.

        :param seat: The :class:`WorkerSeat`.
        """
        self._control = PaceControl()
        self._repeat_s = 0.0
        self._seat = seat
        self._lightness = {}

    def learn(self, lightness):
        """Take what the leader knows of images that fill the VM.

        :param lightness: Whether each image may run at full speed.
        """
        self._lightness.update(lightness)

    def _is_light(self, task):
        return self._lightness.get(task.order.image, False)

    def _percent(self, task):
        """Return the pace of a task; an unknown one is tried at some pace."""
        if self._is_light(task):
            return self._control.light_percent
        percent = self._control.heavy_percent
        if percent and task.order.image not in self._lightness:
            return max(percent, TRIAL_PERCENT)
        return percent

    def _worst_share(self):
        shares = [
            task.gauge / task.order.latency_target_ms
            for task in self._seat.table.active()
            if task.order is not None
            and task.order.latency_target_ms
            and task.is_confirmed
        ]
        return max(shares, default=0.0)

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
            self._decide(fillers)
            is_due = boot_clock_s() > self._repeat_s
            if is_due:
                self._repeat_s = boot_clock_s() + REPEAT_S
            for task in fillers:
                percent = self._percent(task)
                if task.pace_percent != percent or (
                    is_due and percent != FULL_PERCENT
                ):
                    await self.apply(task)

    def _decide(self, fillers):
        control = self._control
        share = self._worst_share()
        before = (control.heavy_percent, control.light_percent)
        control.update(share, has_heavy=not all(map(self._is_light, fillers)))
        after = (control.heavy_percent, control.light_percent)
        if fillers and after != before:
            _log.info(
                "pace_changed",
                vm=self._seat.vm,
                heavy_percent=control.heavy_percent,
                light_percent=control.light_percent,
                share=f"{share:.2f}",
                tasks=len(fillers),
            )

    async def apply(self, task):
        """Tell the worker the present pace of a filling task."""
        percent = self._percent(task)
        if percent == FULL_PERCENT and task.pace_percent == FULL_PERCENT:
            return
        try:
            if await self._seat.worker.pace(
                task.task_id,
                task.attempt,
                percent=percent,
                fence=self._seat.fence,
            ):
                task.pace_percent = percent
        except WorkerUnavailable as exc:
            _log.warning(
                "pace_unanswered",
                task=task.task_id,
                vm=self._seat.vm,
                reason=exc,
            )
