"""Executes start and stop orders on a worker."""

from radishlanding.policy import SilenceBreaker
from radishlanding.vmagent.attempt_start import AttemptStart
from radishlanding.vmagent.attempt_stop import AttemptStop
from radishlanding.vmagent.task_attempt import TaskAttempt
from radishlanding.worker import StartResult
from radishlanding.workflow import EndKind


class OrderExecutor:
    """Execute each order in a trio task of its own.

    Before an attempt whose start is unanswered is reported as never run, the
    worker is told to refuse it. It ends once a list shows that it does not
    run, and either that stop was accepted or the start's deadline has passed.
    """

    __slots__ = ("_breaker", "_is_probed", "_nursery", "_supervisor")

    def __init__(self, *, supervisor, nursery):
        """Create an idle executor.

        :param supervisor: The :class:`WorkerSupervisor`.
        :param nursery: Nursery that starts and stops run in.
        """
        self._breaker = SilenceBreaker()
        # Whether a stop goes on after its end, to probe a silent worker.
        self._is_probed = False
        self._nursery = nursery
        self._supervisor = supervisor

    def start(self, task):
        """Start an attempt in the background.

        :param task: A :class:`TaskAttempt` with an order.
        """
        self._nursery.start_soon(
            self._start, task, self._make(AttemptStart, task)
        )

    def stop(self, task):
        """Stop an attempt in the background.

        An attempt that no call can start any more ends at once, as its permit
        does not hold any more.

        :param task: A :class:`TaskAttempt`.
        """
        if task.cannot_run:
            self._supervisor.table.end(
                task, EndKind.INTERRUPTED, reason="stopped before its start"
            )
        elif not task.is_stop_begun:
            self._begin_stop(task)

    def refuse(self, task_id, attempt):
        """Make the worker refuse an attempt that has ended on the last boot.

        :param task_id: Name of the task.
        :param attempt: Number of the attempt.
        """
        self._begin_stop(
            TaskAttempt(
                task_id=task_id, attempt=attempt, vm=self._supervisor.vm
            )
        )

    def _begin_stop(self, task):
        task.is_stop_begun = True
        self._nursery.start_soon(self._stop, self._make(AttemptStop, task))

    async def _stop(self, stop):
        await stop.run()
        if not self._is_probed:
            self._is_probed = True
            await stop.probe()
            self._is_probed = False

    def _make(self, kind, task):
        return kind(
            supervisor=self._supervisor,
            task=task,
            breaker=self._breaker,
            nursery=self._nursery,
        )

    async def _start(self, task, start):
        reason = await start.run()
        if reason is not None:
            self._give_up(task, reason)

    def _give_up(self, task, reason):
        """End an attempt that did not start.

        If a call got no answer, the worker may have run the attempt. It is
        told to refuse the attempt first, and its next list tells whether the
        attempt never ran.

        :param reason: Why it is given up.
        """
        if task.unanswered_starts or reason == StartResult.OLD:
            task.not_run_reason = f"{reason}"
            self._begin_stop(task)
        else:
            self._supervisor.table.end(
                task, EndKind.NOT_RUN, reason=f"{reason}", by="answer"
            )
