"""Takes the leader's orders for one worker."""

from radishlanding.observe import EventLog
from radishlanding.vm import boot_clock_s
from radishlanding.vmagent.order_executor import OrderExecutor
from radishlanding.vmagent.task_attempt import TaskAttempt
from radishlanding.workflow import EndKind

# An order that took longer to arrive may rest on what is no longer true.
MAX_ORDER_AGE_MS = 3000

_log = EventLog("radishlanding.vmagent")


class OrderHandler:
    """Check orders, and pass them on to be carried out."""

    __slots__ = ("_seat", "_starter")

    def __init__(self, *, seat, nursery):
        """Prepare.

        :param seat: The :class:`WorkerSupervisor`.
        :param nursery: Nursery for starts and stops.
        """
        self._seat = seat
        self._starter = OrderExecutor(seat=seat, nursery=nursery)

    def start(self, message, *, clock_ms):
        """Take start orders.

        :param message: A :class:`radishlanding.message.StartOrders`.
        :param clock_ms: Clock of the agent, in milliseconds.
        :returns: :class:`TaskEndReport` objects of what is refused.
        """
        age_ms = clock_ms - message.clock_echo_ms
        refused = []
        for order in message.orders:
            if self._seat.table.get(order.task_id, order.attempt) is not None:
                continue
            task = TaskAttempt(
                task_id=order.task_id,
                attempt=order.attempt,
                order=order,
                taken_s=boot_clock_s(),
                checkpoint=order.checkpoint,
            )
            self._seat.table.add(task)
            problem = self._problem(message, age_ms)
            if problem:
                self._seat.table.end(task, EndKind.NOT_RUN, reason=problem)
                refused.append(task.end_report())
            else:
                _log.info(
                    "order_taken",
                    task=order.task_id,
                    attempt=order.attempt,
                    vm=self._seat.vm,
                    age_ms=age_ms,
                    fence=self._seat.fence,
                )
                self._starter.start(task)
        return refused

    def _problem(self, message, age_ms):
        if message.boot != self._seat.report.boot:
            return "meant for another boot of the worker"
        if (
            self._seat.report.is_draining
            or self._seat.is_leaving
            or self._seat.has_left
        ):
            return "the worker is draining"
        if not self._seat.is_answering:
            return "the worker does not answer"
        if age_ms > MAX_ORDER_AGE_MS:
            return f"the order rests on a clock {age_ms} ms old"
        return ""

    def stop(self, keys):
        """Stop attempts.

        :param keys: Pairs of task and attempt.
        """
        for task_id, attempt in keys:
            task = self._seat.table.get(task_id, attempt)
            if task is None:
                continue
            if task.end is None and not task.is_stopping:
                task.is_stopping = True
                self._starter.stop(task)
