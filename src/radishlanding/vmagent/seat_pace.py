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

_log = EventLog("radishlanding.vmagent")


class SeatPace:
    """Keep the tail latency of serving tasks within their bounds."""

    __slots__ = ("_control", "_repeat_s", "_seat")

    def __init__(self, *, seat):
        """Prepare; :meth:`run` controls.

        :param seat: The :class:`WorkerSeat`.
        """
        self._control = PaceControl()
        self._repeat_s = 0.0
        self._seat = seat

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
            share = self._worst_share()
            before = self._control.percent
            percent = self._control.update(share)
            if percent != before:
                _log.info(
                    "pace_changed",
                    vm=self._seat.vm,
                    percent=percent,
                    before=before,
                    share=f"{share:.2f}",
                )
            is_due = boot_clock_s() > self._repeat_s
            if is_due:
                self._repeat_s = boot_clock_s() + REPEAT_S
            for task in self._fillers():
                if task.pace_percent != percent or (
                    is_due and percent != FULL_PERCENT
                ):
                    await self.apply(task)

    async def apply(self, task):
        """Tell the worker the present pace of a filling task."""
        percent = self._control.percent
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
