"""Sends start and stop orders and acknowledged ends to VMs."""

import collections
import dataclasses

from radishlanding.dispatch.order_check import OrderCheck
from radishlanding.message import EndsRecorded
from radishlanding.message import StartOrders
from radishlanding.message import StopOrders
from radishlanding.message import TaskKey
from radishlanding.message import TaskOrder
from radishlanding.observe import EventLog
from radishlanding.peer import CallRefused
from radishlanding.peer import CallWithdrawn
from radishlanding.peer import ConnectionLost
from radishlanding.policy import CallerEstimates
from radishlanding.policy import ORDER_OVERHEAD_BYTES
from radishlanding.vm import boot_clock_s
from radishlanding.workflow import EndKind
from radishlanding.workflow import TaskEnd
from radishlanding.workflow import TaskId

# Agents answer within milliseconds. After a timeout the connection is aborted,
# and the agent reports again through a new one.
CALL_TIMEOUT_S = 2.0
# A stop takes up to a second and shows in the next report; resent until then.
STOP_RESEND_INTERVAL_S = 0.6
# Older ones are dropped beyond this number.
MAX_STOPS_REMEMBERED = 1000

_log = EventLog("radishlanding.dispatch")


class OrderSender:
    """Send the committed assignments, stops and ends to agents."""

    __slots__ = (
        "_check",
        "_counters",
        "_epoch",
        "_fleet",
        "_gate",
        "_nursery",
        "_on_answered",
        "_on_unsent",
        "_registry",
        "_run_times",
        "_stop_sent_s",
        "_tickets",
    )

    def __init__(
        self,
        *,
        registry,
        fleet,
        epoch,
        counters,
        gate,
        site_watch,
        run_times=None,
        tickets=None,
    ):
        """Initialise the sender; :meth:`open` sets its nursery.

        :param registry: The :class:`radishlanding.workflow.WorkflowRegistry`.
        :param fleet: The :class:`Fleet`.
        :param epoch: Epoch of the leadership.
        :param counters: Metrics counters of the process.
        :param gate: The :class:`SendGate` that start orders pass.
        :param site_watch: A :class:`SiteWatch`.
        :param run_times: The :class:`radishlanding.policy.RunTimes` that
            orders contain, None for the callers' estimates.
        :param tickets: The :class:`radishlanding.policy.TicketCache` with the
            tickets of advised workflows, or None.
        """
        self._tickets = tickets
        self._registry = registry
        self._run_times = run_times or CallerEstimates()
        self._counters = counters
        self._epoch = epoch
        self._fleet = fleet
        self._nursery = None
        self._on_answered = None
        self._on_unsent = None
        self._check = OrderCheck(fleet=fleet, site_watch=site_watch)
        self._stop_sent_s = {}
        self._gate = gate

    def open(self, nursery, *, on_answered, on_unsent):
        """Set the nursery in which calls to agents run.

        :param on_answered: Callable that is called whenever more start
            orders may be sent.
        :param on_unsent: Callable that takes the ends of attempts that will
            not run, as their orders were not sent.
        """
        self._nursery = nursery
        self._on_unsent = on_unsent
        self._on_answered = on_answered

    @property
    def room_bytes(self):
        """Return how many bytes of start orders may be sent now."""
        return self._gate.room_bytes

    def start(self, assignments):
        """Order the start of committed assignments.

        :param assignments: :class:`radishlanding.workflow.Assignment`
            objects.
        """
        by_vm = collections.defaultdict(list)
        for assignment in assignments:
            by_vm[assignment.vm].append(assignment)
        for vm, group in by_vm.items():
            session = self._fleet.sessions.get(vm)
            if session is None or session.state.boot != group[0].boot:
                reason = "no_session" if session is None else "another_boot"
                self._report_unsent(vm, group, reason)
                continue
            orders = []
            for item in group:
                session.orders_in_flight.add(item.task_id, item.attempt)
                orders.append(self._order(item.task_id, item.boot))
                self._log_assigned(item, orders[-1])
            # Counted here, as the next round of placement precedes the call.
            self._gate.queue(_size_bytes(orders))
            self._nursery.start_soon(
                self._start, session, group[0].boot, orders
            )

    def missing_orders(self, session):
        """Return the orders of attempts that an agent reports without one.

        A restarted agent finds running attempts on its worker, but does not
        know their orders. It starts nothing by them, so that they leave out
        the specification, which would fill a slow link.

        :param session: :class:`VmSession` of the VM.
        :returns: :class:`radishlanding.message.TaskOrder` objects.
        """
        return [
            dataclasses.replace(
                self._order(item.task_id, session.state.boot), spec=""
            )
            for item in session.running.values()
            if item.lacks_order and self._fleet.is_wanted(session, item)
        ]

    def _log_assigned(self, assignment, order):
        _log.info(
            "task_assigned",
            task=assignment.task_id,
            attempt=assignment.attempt,
            vm=assignment.vm,
            boot=assignment.boot,
            resumes=bool(order.checkpoint),
            epoch=self._epoch,
        )

    def _order(self, task_id, boot):
        """Return the order of a task's recorded attempt.

        :param boot: Boot of the worker that runs the attempt or is to run it.
        """
        record, task = self._registry.find(task_id)
        parsed_id = TaskId.parse(task_id)
        step = record.workflow.steps[parsed_id.step]
        return TaskOrder(
            task_id=task_id,
            attempt=task.attempt,
            spec=record.workflow.spec,
            reserved=step.reserved,
            checkpoint=task.checkpoint,
            ticket=self._ticket(record, parsed_id, boot),
            image=step.image,
            fills=step.fills,
            millicores=step.needs.millicores,
            latency_target_ms=step.latency_target_ms,
            estimated_ms=self._estimated_ms(record.workflow, parsed_id.step),
        )

    def _estimated_ms(self, workflow, number):
        """Return the run time to expect of a task, 0 if it has no end."""
        step = workflow.steps[number]
        if step.standing:
            return 0
        estimate = self._run_times.estimate(workflow, number)
        if not estimate.samples:
            return step.estimated_ms
        self._counters.add("orders_with_learned_run_time")
        return max(1, round(estimate.run_ms))

    def _ticket(self, record, parsed_id, boot):
        if not record.workflow.is_advised or self._tickets is None:
            return ""
        # The one that the task was placed with, or a newer one.
        return self._tickets.latest(parsed_id[:3], boot)

    async def _start(self, session, boot, orders):
        async with self._gate.passing(_size_bytes(orders)):
            await self._send_start(session, boot, orders)
        self._on_answered()

    def _withhold_unwanted(self, session, boot, orders):
        """Return the orders that may still be sent, and give up the others.

        :param boot: Boot of the worker that the attempts were assigned to.
        """
        if self._fleet.has_lost(session.vm):
            _log.warning("order_unsent", vm=session.vm, tasks=len(orders))
            # The VM may extend its lease before its loss is noticed; its next
            # report then ends the attempts.
            _mark_answered(session, orders)
            return []
        reason = self._check.bar(session, boot)
        wanted = self._check.wanted(session, boot, orders)
        unsent = [order for order in orders if order not in wanted]
        if unsent:
            _mark_answered(session, unsent)
            self._report_unsent(
                session.vm, unsent, reason or "no longer assigned"
            )
        return wanted

    def _report_unsent(self, vm, items, reason):
        """Let tasks be placed again at once whose orders were not sent.

        :param items: Objects with a ``task_id`` and an ``attempt``.
        """
        _log.info(
            "order_withdrawn",
            vm=vm,
            tasks=",".join(f"{item.task_id}#{item.attempt}" for item in items),
            reason=reason,
        )
        self._counters.add("start_orders_withdrawn", len(items))
        self._on_unsent(
            [
                TaskEnd(
                    task_id=item.task_id,
                    attempt=item.attempt,
                    kind=EndKind.NOT_RUN,
                )
                for item in items
            ]
        )

    async def _send_start(self, session, boot, orders):
        sent = []

        def prepare():
            sent.extend(self._withhold_unwanted(session, boot, orders))
            return self._start_message(session, boot, sent) if sent else None

        try:
            answer = await session.conn.call_prepared(
                prepare, timeout_s=CALL_TIMEOUT_S
            )
        except CallWithdrawn:
            return
        except (ConnectionLost, CallRefused) as exc:
            _log.warning("orders_unanswered", vm=session.vm, reason=exc)
            session.conn.abort()
            return
        for order in sent:
            session.orders_in_flight.answer(
                order.task_id, order.attempt, clock_ms=answer.clock_ms
            )
        for item in answer.refused:
            _log.info(
                "order_refused",
                task=item.task_id,
                attempt=item.attempt,
                vm=session.vm,
                reason=item.reason,
            )

    def _start_message(self, session, boot, orders):
        message = StartOrders(
            vm=session.vm,
            epoch=self._epoch,
            boot=boot,
            clock_echo_ms=session.clock_ms,
            orders=orders,
        )
        if session.reads_specs:
            message.share_specs()
        self._counters.add("start_orders", len(orders))
        return message

    def drop_ticket(self, end, vm):
        """Drop the ticket of an attempt that a worker refused to run.

        It may have expired; the step is asked about again.
        """
        record, _ = self._registry.find(end.task_id)
        session = self._fleet.sessions.get(vm)
        if record is not None and record.workflow.is_advised and session:
            self._counters.add("tickets_refused")
            parsed_id = TaskId.parse(end.task_id)
            self._tickets.invalidate(parsed_id[:3], session.state.boot)

    def stop(self, session, items):
        """Order the stop of attempts on a VM.

        An order is not repeated within ``STOP_RESEND_INTERVAL_S``.

        :param session: :class:`VmSession` of the VM.
        :param items: Objects with a ``task_id`` and an ``attempt``.
        """
        now_s = boot_clock_s()
        if len(self._stop_sent_s) > MAX_STOPS_REMEMBERED:
            self._stop_sent_s = {
                key: sent_s
                for key, sent_s in self._stop_sent_s.items()
                if now_s - sent_s <= STOP_RESEND_INTERVAL_S
            }
        keys = []
        for item in items:
            key = (session.vm, item.task_id, item.attempt)
            if now_s - self._stop_sent_s.get(key, 0) > STOP_RESEND_INTERVAL_S:
                self._stop_sent_s[key] = now_s
                keys.append(TaskKey(task_id=item.task_id, epoch=item.attempt))
        if keys:
            self._nursery.start_soon(self._stop, session, keys)

    async def _stop(self, session, keys):
        _log.info(
            "stop_ordered",
            vm=session.vm,
            tasks=",".join(f"{key.task_id}#{key.epoch}" for key in keys),
        )
        message = StopOrders(vm=session.vm, epoch=self._epoch, keys=keys)
        try:
            await session.conn.call(message, timeout_s=CALL_TIMEOUT_S)
        except (ConnectionLost, CallRefused) as exc:
            _log.warning("stop_unanswered", vm=session.vm, reason=exc)

    def stop_unwanted(self):
        """Order the stop of every attempt that should not run."""
        for session in self._fleet.sessions.values():
            self.stop(session, self._unwanted_tasks(session))

    def _unwanted_tasks(self, session):
        """Return attempts that should not run on a VM.

        Besides reported ones, these are the attempts of ended workflows that
        the VM was ordered to start but has not reported yet.
        """
        unwanted = {
            item.task_id: item
            for item in self._fleet.unwanted_attempts(session)
        }
        for task in self._registry.tasks_on(session.vm):
            record, _ = self._registry.find(task.task_id)
            if record.phase.has_ended:
                unwanted[task.task_id] = task
        return list(unwanted.values())

    def acknowledge(self, ends):
        """Tell agents that the ends they reported are committed.

        :param ends: Pairs of an end and the VM that reported it.
        """
        by_vm = collections.defaultdict(list)
        for end, vm in ends:
            if vm in self._fleet.sessions:
                by_vm[vm].append(end)
        for vm, group in by_vm.items():
            self.acknowledge_ends(self._fleet.sessions[vm], group)

    def acknowledge_ends(self, session, ends):
        """Tell an agent that it need not report some ends again."""
        if not ends:
            return
        message = EndsRecorded(
            vm=session.vm,
            keys=[
                TaskKey(task_id=end.task_id, epoch=end.attempt) for end in ends
            ],
        )
        self._nursery.start_soon(session.conn.notify, message)


def _mark_answered(session, orders):
    """Record that no answer to these orders will come."""
    for order in orders:
        session.orders_in_flight.answer(
            order.task_id, order.attempt, clock_ms=session.clock_ms
        )


def _size_bytes(orders):
    """Return the size of the start orders in one message."""
    specs = {order.spec for order in orders}
    return sum(map(len, specs)) + ORDER_OVERHEAD_BYTES * len(orders)
