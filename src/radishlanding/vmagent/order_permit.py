"""Decides whether a start order may be sent."""

from radishlanding.vm import boot_clock_s
from radishlanding.worker import StartTerms

# Older orders are given up, so that the leader can place their tasks again:
# half of the 5 s in which a zone has to be evacuated.
MAX_START_AGE_S = 2.5


class OrderPermit:
    """Implement :class:`radishlanding.worker.StartPermit` for an order.

    It holds for the boot of the worker that the order was accepted for.
    """

    __slots__ = (
        "_boot",
        "_breaker",
        "_called_s",
        "_supervisor",
        "_task",
        "sent_s",
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
        self._called_s = self.sent_s = boot_clock_s()
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
        return not (task.is_confirmed or task.is_stopping or task.end)

    def refusal_reason(self):
        """Return why the attempt may no longer start, or an empty string."""
        supervisor = self._supervisor
        if not self.is_for_current_boot:
            return "the order is for another boot of the worker"
        if supervisor.is_draining:
            return "the worker is draining"
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
        """Return how much longer the start may wait, in seconds."""
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

    def begin_call(self):
        """Record that a call is made, which may wait to be sent."""
        self._called_s = self.sent_s = boot_clock_s()

    @property
    def waited_s(self):
        """Return how long the last call waited to be sent, in seconds.

        It is 0 if the call has not been sent.
        """
        return self.sent_s - self._called_s

    def take(self):
        """Record that the start is being sent, and return its terms.

        :returns: :class:`radishlanding.worker.StartTerms`, or None if it must
            not be sent.
        """
        if not self.is_valid():
            return None
        supervisor = self._supervisor
        self.sent_s = boot_clock_s()
        self._breaker.record_call(supervisor.worker, self.sent_s)
        self._task.is_sent = True
        self._task.unanswered_starts += 1
        return StartTerms(
            fence=supervisor.fence,
            deadline_ms=supervisor.clock.deadline_ms(supervisor.remaining_s()),
        )
