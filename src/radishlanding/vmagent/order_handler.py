"""Handles the leader's orders for one worker."""

from radishlanding.observe import EventLog
from radishlanding.vm import boot_clock_s
from radishlanding.vmagent.order_executor import OrderExecutor
from radishlanding.vmagent.task_attempt import TaskAttempt
from radishlanding.workflow import EndKind

# Older orders may be based on an outdated state of the VM.
MAX_ORDER_AGE_MS = 3000

_log = EventLog("radishlanding.vmagent")


class OrderHandler:
    """Validate orders, and pass them to the executor."""

    __slots__ = ("_executor", "_supervisor")

    def __init__(self, *, supervisor, nursery):
        """Create the handler and its executor.

        :param supervisor: The :class:`WorkerSupervisor`.
        :param nursery: Nursery that starts and stops run in.
        """
        self._supervisor = supervisor
        self._executor = OrderExecutor(supervisor=supervisor, nursery=nursery)

    def start(self, message, *, clock_ms):
        """Start the attempts that are ordered, apart from known ones.

        :param message: A :class:`radishlanding.message.StartOrders`.
        :param clock_ms: The agent's clock, in milliseconds.
        :returns: A :class:`radishlanding.message.TaskEndReport` for each
            refused order.
        """
        age_ms = clock_ms - message.clock_echo_ms
        refused = []
        for order in message.orders:
            if (
                self._supervisor.table.get(order.task_id, order.attempt)
                is not None
            ):
                continue
            task = TaskAttempt(
                task_id=order.task_id,
                attempt=order.attempt,
                vm=self._supervisor.vm,
                order=order,
                accepted_s=boot_clock_s(),
                checkpoint=order.checkpoint,
            )
            self._supervisor.table.add(task)
            reason = self._refusal_reason(message, age_ms)
            if reason:
                self._supervisor.table.end(
                    task, EndKind.NOT_RUN, reason=reason
                )
                refused.append(task.end_report())
            else:
                _log.info(
                    "order_taken",
                    task=order.task_id,
                    attempt=order.attempt,
                    vm=self._supervisor.vm,
                    age_ms=age_ms,
                    fence=self._supervisor.fence,
                )
                self._executor.start(task)
        return refused

    def _refusal_reason(self, message, age_ms):
        if message.boot != self._supervisor.report.boot:
            return "the order is for another boot of the worker"
        if self._supervisor.is_draining:
            return "the worker is draining"
        if not self._supervisor.is_responsive:
            return "the worker does not answer"
        if age_ms > MAX_ORDER_AGE_MS:
            return f"the order is based on a clock {age_ms} ms old"
        return ""

    def refuse_late_starts(self):
        """Make a new boot refuse starts of attempts that ended before it."""
        for task_id, attempt in self._supervisor.table.late_starts.keys():
            self._executor.refuse(task_id, attempt)

    def stop(self, keys):
        """Stop the attempts that have not ended; unknown ones are ignored.

        :param keys: Pairs of task and attempt.
        """
        for task_id, attempt in keys:
            task = self._supervisor.table.get(task_id, attempt)
            if task is None:
                continue
            if task.end is None and not task.is_stopping:
                task.is_stopping = True
                self._executor.stop(task)

    def stop_ended(self):
        """Stop what was sent of the attempts that count as ended."""
        for task in self._supervisor.table.ended():
            if task.is_sent:
                self._executor.refuse(task.task_id, task.attempt)
