"""Stops one attempt on a worker."""

from radishlanding.observe import EventLog
from radishlanding.vm import boot_clock_s
from radishlanding.vmagent.hedged_call import HedgedCall
from radishlanding.worker import WorkerUnavailable

_log = EventLog("radishlanding.vmagent")


class AttemptStop:
    """Stop an attempt, or have a worker refuse one that has not arrived.

    The stop is tried side by side until it is accepted or the attempt has
    ended. The worker's next list shows how it ended.
    """

    __slots__ = ("_boot", "_breaker", "_calls", "_supervisor", "_task")

    def __init__(self, *, supervisor, task, breaker, nursery):
        """Prepare to stop an attempt on the worker's present boot.

        :param supervisor: The :class:`WorkerSupervisor`.
        :param task: The :class:`TaskAttempt`.
        :param breaker: The :class:`radishlanding.policy.SilenceBreaker` of
            the worker's starts and stops.
        :param nursery: Nursery that tries run in.
        """
        self._boot = supervisor.report.boot
        self._breaker = breaker
        self._calls = HedgedCall(nursery=nursery, send=self._send)
        self._supervisor = supervisor
        self._task = task

    async def run(self):
        """Try until a stop is accepted, or nothing is left to stop."""
        while self._is_wanted():
            if self._may_try():
                self._calls.begin_try()
            await self._calls.wait()

    async def probe(self):
        """Repeat the stop until a silent worker answers any call.

        One try at a time is made, and only while no other call is unanswered.
        Without it, the next order would have to probe the worker, and those
        beside it would be refused.
        """
        worker = self._supervisor.worker
        while (
            (self._breaker.has_timed_out(worker) or self._calls.in_flight)
            and worker is self._supervisor.worker
            and not self._supervisor.has_left
        ):
            is_due = not self._calls.in_flight and self._calls.is_due()
            if is_due and not self._is_silent():
                self._calls.begin_try()
            await self._calls.wait()

    def _is_wanted(self):
        return not (
            self._task.is_stop_accepted
            or self._task.end is not None
            or self._supervisor.has_left
            or not self._is_for_current_boot()
        )

    def _is_for_current_boot(self):
        return self._boot == self._supervisor.report.boot

    def _may_try(self):
        """Return whether another try may be made now.

        A worker that answers nothing gets no repeats beside a try.
        """
        return self._calls.is_due() and not (
            self._calls.in_flight and self._is_silent()
        )

    def _is_silent(self):
        return self._breaker.is_open(self._supervisor.worker, boot_clock_s())

    async def _send(self, is_repeat):
        """Call the worker once, and process its answer."""
        task, supervisor = self._task, self._supervisor
        worker, sent_s = supervisor.worker, boot_clock_s()
        self._breaker.record_call(worker, sent_s)
        try:
            taken = await worker.stop(
                task.task_id,
                task.attempt,
                fence=supervisor.fence,
                is_repeat=is_repeat,
            )
        except WorkerUnavailable as exc:
            self._breaker.record_timeout(worker, sent_s=sent_s)
            _log.warning(
                "stop_unanswered",
                task=task.task_id,
                attempt=task.attempt,
                vm=supervisor.vm,
                reason=exc,
            )
            return
        if taken is None:
            self._breaker.record_withdrawal(worker)
            return
        self._breaker.record_answer(worker, boot_clock_s())
        _log.info(
            "stop_answered",
            task=task.task_id,
            attempt=task.attempt,
            vm=supervisor.vm,
            taken=taken,
            fence=supervisor.fence,
        )
        if taken and self._is_for_current_boot():
            self._mark_accepted()

    def _mark_accepted(self):
        task = self._task
        if not task.is_stop_accepted:
            task.is_stop_accepted = True
            task.is_confirmed = True
            task.confirmed_s = boot_clock_s()
