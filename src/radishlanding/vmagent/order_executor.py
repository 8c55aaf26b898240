"""Starts and stops attempts on a worker."""

import trio

from radishlanding.observe import EventLog
from radishlanding.vm import boot_clock_s
from radishlanding.worker import StartResult
from radishlanding.worker import WorkerUnavailable
from radishlanding.workflow import EndKind

RETRY_PAUSE_S = 0.1
# Orders that could not be carried out by then go back to the leader; half of
# the 5 s in which a zone must be left.
MAX_START_AGE_S = 2.5
# Results after which the same start may succeed.
_AGAIN = (StartResult.FENCED, StartResult.LATE)

_log = EventLog("radishlanding.vmagent")


class OrderExecutor:
    """Carry orders out, each in a task of its own.

    A start without an answer is sent again until the worker says what
    became of it. Before it is reported as never run, the worker is told to
    refuse it.
    """

    __slots__ = ("_nursery", "_seat")

    def __init__(self, *, seat, nursery):
        """Prepare.

        :param seat: The :class:`WorkerSupervisor`.
        :param nursery: Nursery for what it does.
        """
        self._nursery = nursery
        self._seat = seat

    def start(self, task):
        """Start an attempt, in the background."""
        self._nursery.start_soon(self._start, task)

    def stop(self, task):
        """Stop an attempt, in the background."""
        self._nursery.start_soon(self._stop, task)

    async def _start(self, task):
        boot = self._seat.report.boot
        result = None
        while task.end is None and not task.is_stopping:
            if task.is_confirmed:
                return
            problem = self._problem(task)
            if problem:
                result = problem
                break
            result = await self._try_start(task)
            if boot != self._seat.report.boot or task.end is not None:
                return
            if result == StartResult.STARTED:
                await self._started(task)
                return
            if result is not None and result not in _AGAIN:
                break
            await trio.sleep(RETRY_PAUSE_S)
        if task.end is None and not task.is_stopping:
            await self._give_up(task, result)

    def _problem(self, task):
        """Return why it is too late to start an attempt, or nothing.

        Looked at right before each call, as the process may have stood
        still since the order came.
        """
        if self._seat.report.is_draining or self._seat.is_leaving:
            return "the worker is draining"
        if boot_clock_s() - task.taken_s > MAX_START_AGE_S:
            return "the order is too old"
        return ""

    async def _try_start(self, task):
        """Send a start; return the result, None where there is none."""
        seat = self._seat
        remaining_s = seat.remaining_s()
        if (
            remaining_s <= 0
            or not seat.clock.is_known
            or not seat.is_answering
        ):
            return None
        sent_s = boot_clock_s()
        boot = seat.report.boot
        try:
            result, clock_ms = await seat.worker.start(
                task.order,
                fence=seat.fence,
                deadline_ms=seat.clock.deadline_ms(remaining_s),
            )
        except WorkerUnavailable as exc:
            task.is_unsure = True
            _log.warning(
                "start_unanswered",
                task=task.task_id,
                attempt=task.attempt,
                vm=seat.vm,
                reason=exc,
            )
            return None
        _log.info(
            "start_answered",
            task=task.task_id,
            attempt=task.attempt,
            vm=seat.vm,
            result=result,
            fence=seat.fence,
            took_ms=int((boot_clock_s() - sent_s) * 1000),
        )
        if clock_ms and boot == seat.report.boot:
            # The clock of an earlier boot would give deadlines too late.
            seat.clock.read(clock_ms)
        return result

    async def _started(self, task):
        if not task.is_confirmed:
            task.is_confirmed = True
            task.confirmed_s = boot_clock_s()
        task.is_unsure = False
        if task.order.fills:
            await self._seat.pace.apply(task)

    async def _give_up(self, task, result):
        """Report an attempt that the worker refused.

        Where a start went unanswered the worker may have run it, and may
        list its end: it is forbidden first, and the next list decides.
        """
        if task.is_unsure or result == StartResult.OLD:
            task.given_up = f"{result}"
            await self._stop(task)
        else:
            self._seat.table.end(task, EndKind.NOT_RUN, reason=f"{result}")

    async def _stop(self, task):
        """Stop an attempt; its end is listed, or the worker has it not."""
        await self._stop_surely(task, self._seat.report)
        task.is_confirmed = True
        task.confirmed_s = boot_clock_s()

    async def _stop_surely(self, task, report):
        """Tell one boot of the worker to stop an attempt until it answers."""
        while not self._seat.has_left:
            if report.worker_id != self._seat.report.worker_id:
                return
            try:
                taken = await self._seat.worker.stop(
                    task.task_id, task.attempt, fence=self._seat.fence
                )
            except WorkerUnavailable as exc:
                _log.warning(
                    "stop_unanswered",
                    task=task.task_id,
                    attempt=task.attempt,
                    vm=self._seat.vm,
                    reason=exc,
                )
            else:
                _log.info(
                    "stop_answered",
                    task=task.task_id,
                    attempt=task.attempt,
                    vm=self._seat.vm,
                    taken=taken,
                    fence=self._seat.fence,
                )
                if taken:
                    return
            await trio.sleep(RETRY_PAUSE_S)
