"""Executes start and stop orders on a worker."""

import trio

from radishlanding.observe import EventLog
from radishlanding.policy import SilenceBreaker
from radishlanding.vm import boot_clock_s
from radishlanding.vmagent.order_permit import OrderPermit
from radishlanding.worker import StartResult
from radishlanding.worker import WorkerUnavailable
from radishlanding.workflow import EndKind

RETRY_DELAY_S = 0.1
# Results after which the same call may succeed.
_RETRYABLE = (
    StartResult.FENCED,
    StartResult.LATE,
    StartResult.NOT_SENT,
)

_log = EventLog("radishlanding.vmagent")


class OrderExecutor:
    """Execute each order in a trio task of its own.

    A start that gets no answer is retried until the worker answers. Before
    the attempt is reported as never run, the worker is told to refuse it, as
    an earlier call may still arrive.
    """

    __slots__ = ("_breaker", "_nursery", "_supervisor")

    def __init__(self, *, supervisor, nursery):
        """Create an idle executor.

        :param supervisor: The :class:`WorkerSupervisor`.
        :param nursery: Nursery that starts and stops run in.
        """
        self._breaker = SilenceBreaker()
        self._nursery = nursery
        self._supervisor = supervisor

    def start(self, task):
        """Start an attempt in the background.

        :param task: A :class:`TaskAttempt` with an order.
        """
        permit = OrderPermit(
            supervisor=self._supervisor, task=task, breaker=self._breaker
        )
        self._nursery.start_soon(self._start, task, permit)

    def stop(self, task):
        """Stop an attempt in the background.

        An attempt whose start was not sent ends at once: its permit does not
        hold any more.

        :param task: A :class:`TaskAttempt`.
        """
        if task.is_sent:
            self._nursery.start_soon(self._stop, task)
        else:
            self._supervisor.table.end(
                task, EndKind.INTERRUPTED, reason="stopped before its start"
            )

    async def _start(self, task, permit):
        result = None
        while permit.is_wanted:
            reason = permit.refusal_reason()
            if reason:
                result = reason
                break
            result = await self._send_start(task, permit)
            if not permit.is_for_current_boot or task.end is not None:
                return
            if result == StartResult.STARTED:
                await self._mark_started(task)
                return
            if result is not None and result not in _RETRYABLE:
                break
            await trio.sleep(RETRY_DELAY_S)
        if permit.is_wanted:
            await self._give_up(task, result)

    async def _send_start(self, task, permit):
        """Call the worker once to start an attempt.

        :returns: A :class:`radishlanding.worker.StartResult`, or None if the
            call was not possible now or got no answer.
        """
        if not permit.is_valid():
            return None
        supervisor, worker = self._supervisor, self._supervisor.worker
        called_s = boot_clock_s()
        permit.begin_call()
        try:
            result, clock_ms = await worker.start(task.order, permit=permit)
        except WorkerUnavailable as exc:
            if exc.was_sent:
                task.is_start_uncertain = True
                self._breaker.record_timeout(worker, sent_s=permit.sent_s)
            _log.warning(
                "start_unanswered",
                task=task.task_id,
                attempt=task.attempt,
                vm=supervisor.vm,
                sent=exc.was_sent,
                waited_ms=int(permit.waited_s * 1000),
                reason=exc,
            )
            return None
        took_ms = int((boot_clock_s() - called_s) * 1000)
        if result == StartResult.NOT_SENT:
            _log.info(
                "start_withdrawn",
                task=task.task_id,
                attempt=task.attempt,
                vm=supervisor.vm,
                waited_ms=took_ms,
                reason=permit.refusal_reason() or "not wanted now",
            )
            return result
        task.unanswered_starts -= 1
        self._breaker.record_answer(worker, boot_clock_s())
        _log.info(
            "start_answered",
            task=task.task_id,
            attempt=task.attempt,
            vm=supervisor.vm,
            result=result,
            fence=supervisor.fence,
            waited_ms=int(permit.waited_s * 1000),
            took_ms=took_ms,
        )
        if clock_ms and permit.is_for_current_boot:
            # The clock of an earlier boot is ahead: deadlines would be late.
            supervisor.clock.update(clock_ms)
        return result

    async def _mark_started(self, task):
        if not task.is_confirmed:
            task.is_confirmed = True
            task.confirmed_s = boot_clock_s()
        task.is_start_uncertain = False
        if task.order.fills:
            await self._supervisor.pacer.apply_to(task)

    async def _give_up(self, task, result):
        """End an attempt that did not start.

        If a call got no answer, the worker may have run the attempt. It is
        told to refuse the attempt first, and its next list tells whether the
        attempt never ran.
        """
        if task.is_start_uncertain or result == StartResult.OLD:
            task.not_run_reason = f"{result}"
            await self._stop(task)
        else:
            self._supervisor.table.end(
                task, EndKind.NOT_RUN, reason=f"{result}"
            )

    async def _stop(self, task):
        """Stop an attempt; the worker's next list shows how it ended."""
        await self._stop_until_acknowledged(task, self._supervisor.report)
        task.is_confirmed = True
        task.confirmed_s = boot_clock_s()

    async def _stop_until_acknowledged(self, task, report):
        """Retry a stop until it is accepted.

        :param task: The :class:`TaskAttempt`.
        :param report: The worker's report; retries end when it has left or
            another worker has taken its place.
        """
        while not self._supervisor.has_left:
            if report.worker_id != self._supervisor.report.worker_id:
                return
            worker, sent_s = self._supervisor.worker, boot_clock_s()
            # A stop is sent even if the worker is silent, and probes it.
            self._breaker.record_call(worker, sent_s)
            try:
                taken = await worker.stop(
                    task.task_id, task.attempt, fence=self._supervisor.fence
                )
            except WorkerUnavailable as exc:
                self._breaker.record_timeout(worker, sent_s=sent_s)
                _log.warning(
                    "stop_unanswered",
                    task=task.task_id,
                    attempt=task.attempt,
                    vm=self._supervisor.vm,
                    reason=exc,
                )
            else:
                self._breaker.record_answer(worker, boot_clock_s())
                _log.info(
                    "stop_answered",
                    task=task.task_id,
                    attempt=task.attempt,
                    vm=self._supervisor.vm,
                    taken=taken,
                    fence=self._supervisor.fence,
                )
                if taken:
                    return
            await trio.sleep(RETRY_DELAY_S)
