"""Starts one attempt on a worker."""

from radishlanding.observe import EventLog
from radishlanding.vm import boot_clock_s
from radishlanding.vmagent.hedged_call import HedgedCall
from radishlanding.vmagent.order_permit import OrderPermit
from radishlanding.vmagent.start_call import StartCall
from radishlanding.worker import StartResult
from radishlanding.worker import WorkerUnavailable

# Deadlines that come from an older reading of the worker's clock are early.
MAX_READING_AGE_S = 0.1

_log = EventLog("radishlanding.vmagent")


class AttemptStart:
    """Try to start an attempt until it is known to run or given up.

    A start is tried side by side while it is unanswered. If a try is answered
    by a refusal, an earlier one may still start the attempt.
    """

    __slots__ = ("_breaker", "_calls", "_permit", "_supervisor", "_task")

    def __init__(self, *, supervisor, task, breaker, nursery):
        """Prepare to start an attempt on the worker's present boot.

        :param supervisor: The :class:`WorkerSupervisor`.
        :param task: The :class:`TaskAttempt`, which has an order.
        :param breaker: The :class:`radishlanding.policy.SilenceBreaker` of
            the worker's starts and stops.
        :param nursery: Nursery that tries run in.
        """
        self._breaker = breaker
        self._calls = HedgedCall(nursery=nursery, send=self._send)
        self._permit = OrderPermit(
            supervisor=supervisor, task=task, breaker=breaker
        )
        self._supervisor = supervisor
        self._task = task

    async def run(self):
        """Start the attempt.

        :returns: Why it is given up. None if it runs, or if it has ended or
            is being stopped.
        """
        permit, calls = self._permit, self._calls
        while permit.is_wanted:
            reason = permit.refusal_reason()
            if reason and (not calls.in_flight or permit.is_overdue):
                return reason
            if not reason and self._may_try():
                calls.begin_try()
            await calls.wait()
        return None

    def _may_try(self):
        """Return whether another try may be made now.

        There is no use in a repeat while the first try waits to be sent.
        """
        is_waiting = self._calls.in_flight and not self._task.is_sent
        return (
            self._calls.is_due() and not is_waiting and self._permit.is_valid()
        )

    async def _send(self, is_repeat):
        """Call the worker once, and process its answer."""
        task, worker = self._task, self._supervisor.worker
        call = StartCall(permit=self._permit, is_repeat=is_repeat)
        try:
            result, clock_ms = await worker.start(task.order, permit=call)
        except WorkerUnavailable as exc:
            if exc.was_sent:
                self._breaker.record_timeout(worker, sent_s=call.sent_s)
            _log.warning(
                "start_unanswered",
                task=task.task_id,
                attempt=task.attempt,
                vm=self._supervisor.vm,
                sent=exc.was_sent,
                waited_ms=call.waited_ms,
                reason=exc,
            )
            return
        if result == StartResult.NOT_SENT:
            if not is_repeat:
                self._log_withdrawal(call)
            return
        task.unanswered_starts -= 1
        self._breaker.record_answer(worker, boot_clock_s())
        _log.info(
            "start_answered",
            task=task.task_id,
            attempt=task.attempt,
            vm=self._supervisor.vm,
            result=result,
            fence=self._supervisor.fence,
            waited_ms=call.waited_ms,
            took_ms=call.age_ms,
        )
        if not self._permit.is_for_current_boot:
            # The clock of an earlier boot is ahead: deadlines would be late.
            return
        if clock_ms and call.answered_in_s <= MAX_READING_AGE_S:
            self._supervisor.clock.update(clock_ms)
        if result == StartResult.STARTED:
            await self._mark_started()
        else:
            self._permit.record_refusal(result)

    def _log_withdrawal(self, call):
        _log.info(
            "start_withdrawn",
            task=self._task.task_id,
            attempt=self._task.attempt,
            vm=self._supervisor.vm,
            waited_ms=call.age_ms,
            reason=self._permit.refusal_reason() or "not wanted now",
        )

    async def _mark_started(self):
        task = self._task
        if task.end is not None or task.has_started:
            return
        self._supervisor.table.record_resolution(
            task, outcome="running", by="answer"
        )
        task.has_started = True
        if not task.is_confirmed:
            task.is_confirmed = True
            task.confirmed_s = boot_clock_s()
        if task.order.fills:
            await self._supervisor.pacer.apply_to(task)
