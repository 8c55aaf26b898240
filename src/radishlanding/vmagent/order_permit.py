"""Decides whether a start order may be sent."""

from radishlanding.vm import boot_clock_s
from radishlanding.vmagent.start_deadline import StartDeadline
from radishlanding.vmagent.worker_clock import CLOCK_RATE_MARGIN
from radishlanding.worker import StartResult
from radishlanding.worker import StartTerms

# Older orders are given up, so that the leader can place their tasks again:
# half of the 5 s in which a zone has to be evacuated.
MAX_START_AGE_S = 2.5
# How long a worker may begin an attempt after its first start call was sent,
# which bounds how long it is unknown whether an unanswered start takes effect.
START_VALIDITY_S = 1.0
# Refusals after which the same call may succeed.
_RETRYABLE = (StartResult.FENCED, StartResult.LATE)


class OrderPermit:
    """Decide for all tries of a start whether they may be sent.

    It holds for the boot of the worker that the order was accepted for.
    """

    __slots__ = (
        "_boot",
        "_breaker",
        "_refusal",
        "_supervisor",
        "_task",
    )

    def __init__(self, *, supervisor, task, breaker):
        """Permit the start of an attempt on the worker's present boot.

        :param supervisor: The :class:`WorkerSupervisor`.
        :param task: The :class:`TaskAttempt`.
        :param breaker: The :class:`radishlanding.policy.SilenceBreaker` of
            the worker's starts and stops.
        """
        self._boot = supervisor.report.boot
        self._breaker = breaker
        self._refusal = None
        self._supervisor = supervisor
        self._task = task

    @property
    def is_for_current_boot(self):
        """Return whether the worker has not started again."""
        return self._boot == self._supervisor.report.boot

    @property
    def is_wanted(self):
        """Return whether the attempt is still to start."""
        task = self._task
        return not (
            task.is_confirmed
            or task.is_stopping
            or task.not_run_reason
            or task.end
        )

    @property
    def is_overdue(self):
        """Return whether a start was sent, and its deadline has passed."""
        return self._task.start_deadline is not None and self.wait_s() <= 0

    def refusal_reason(self):
        """Return why no more starts may be sent, or an empty string."""
        supervisor = self._supervisor
        if self._refusal is not None:
            return self._refusal
        if not self.is_for_current_boot:
            return "the order is for another boot of the worker"
        if supervisor.is_draining:
            return "the worker is draining"
        if self.is_overdue:
            return "the start was not answered in time"
        if self.wait_s() <= 0:
            return "the order is too old"
        if self._is_held_back() and not self._task.is_sent:
            # It may run elsewhere at once; one that was sent may not.
            return "the worker leaves calls unanswered"
        return ""

    def _is_held_back(self):
        worker = self._supervisor.worker
        return self._breaker.is_open(worker, boot_clock_s())

    def wait_s(self):
        """Return how much longer a try may wait to be sent, in seconds."""
        deadline = self._task.start_deadline
        if deadline is not None:
            return deadline.due_s - boot_clock_s()
        return MAX_START_AGE_S - (boot_clock_s() - self._task.accepted_s)

    def is_valid(self):
        """Return whether the start may be sent now."""
        supervisor = self._supervisor
        return (
            self.is_wanted
            and not self.refusal_reason()
            and not self._is_held_back()
            and supervisor.is_responsive
            and supervisor.clock.is_known
            and supervisor.remaining_s() > 0
        )

    def record_refusal(self, result):
        """Record that the worker has refused a try.

        It decides nothing while another try is unanswered, except that there
        is no use in more tries.

        :param result: The :class:`radishlanding.worker.StartResult`.
        """
        task = self._task
        if result not in _RETRYABLE:
            self._refusal = result
        elif self.is_wanted and not task.unanswered_starts:
            # Nothing can start it any more, so that it may get more time.
            task.start_deadline = None
        elif result == StartResult.LATE:
            self._refusal = result

    def take(self):
        """Record that a try is being sent, and return its terms.

        :returns: :class:`radishlanding.worker.StartTerms`, or None if it must
            not be sent.
        """
        if not self.is_valid():
            return None
        supervisor, task = self._supervisor, self._task
        if task.start_deadline is None:
            task.first_sent_s = boot_clock_s()
            task.start_deadline = self._make_deadline()
        self._breaker.record_call(supervisor.worker, boot_clock_s())
        task.is_sent = True
        task.unanswered_starts += 1
        return StartTerms(
            fence=supervisor.fence, deadline_ms=task.start_deadline.clock_ms
        )

    def _make_deadline(self):
        supervisor = self._supervisor
        validity_s = min(START_VALIDITY_S, supervisor.remaining_s())
        clock_ms = supervisor.clock.deadline_ms(validity_s)
        now_s = boot_clock_s()
        return StartDeadline(
            clock_ms=clock_ms,
            due_s=now_s + validity_s,
            passed_s=now_s + validity_s * CLOCK_RATE_MARGIN,
        )
