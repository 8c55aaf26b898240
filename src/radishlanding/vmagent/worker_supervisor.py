"""Supervises the tasks of one worker."""

import trio

from radishlanding.message import VmState
from radishlanding.observe import EventLog
from radishlanding.vm import VmLease
from radishlanding.vmagent.attempt_table import AttemptTable
from radishlanding.vmagent.order_handler import OrderHandler
from radishlanding.vmagent.report_filter import ReportFilter
from radishlanding.vmagent.task_pacer import TaskPacer
from radishlanding.vmagent.worker_clock import WorkerClock
from radishlanding.vmagent.worker_poller import WorkerPoller

# How long a worker runs on without its agent, which restarts in about 2 s.
# Also bounds how long the tasks of a worker that does not answer are missing.
HOLD_S = 4.5
# Largest share of the platform's longest hold that is used.
HOLD_SHARE = 0.75
# Number of a boot's first report. If another one is the first to arrive, an
# earlier agent may have held the worker.
FIRST_REPORT = 1

_log = EventLog("radishlanding.vmagent")


class WorkerSupervisor:
    """Hold a worker, poll its tasks, and execute the leader's orders.

    A worker runs its tasks until a deadline. Each poll extends the deadline
    while the agent has a lease from the leader, and lists the attempts that
    run or have ended. A supervisor outlives boots of its worker.
    """

    __slots__ = (
        "_hold_s",
        "_make_worker",
        "_order_handler",
        "_poller",
        "_report_filter",
        "clock",
        "fence",
        "has_left",
        "has_synced",
        "is_leaving",
        "is_partly_listed",
        "lease",
        "pacer",
        "report",
        "scope",
        "table",
        "worker",
    )

    def __init__(
        self,
        *,
        report,
        make_worker,
        vm_lease_s,
        hold_max_s,
        nursery,
        counters,
    ):
        """Create a supervisor without tasks; :meth:`run` starts polling.

        :param report: The first :class:`radishlanding.worker.WorkerReport`
            that came from the worker.
        :param make_worker: Callable that takes a report and returns a
            :class:`radishlanding.worker.LeasedWorker`.
        :param vm_lease_s: How long tasks run without an acknowledgement of
            the leader, in seconds.
        :param hold_max_s: Longest time that a deadline may hold the worker,
            in seconds.
        :param nursery: Nursery that starts and stops run in.
        :param counters: The process's :class:`radishlanding.observe.Counters`.
        """
        self._make_worker = make_worker
        self._hold_s = min(HOLD_S, HOLD_SHARE * hold_max_s)
        self.clock = WorkerClock(
            hold_max_s=hold_max_s, may_be_held=report.number > FIRST_REPORT
        )
        self.fence = 0
        self.has_left = False
        self.is_leaving = False
        self.has_synced = False
        # Whether lists under the newest token have left out ends so far.
        self.is_partly_listed = False
        self.lease = VmLease(duration_s=vm_lease_s)
        self.report = report
        self._report_filter = ReportFilter()
        self._poller = WorkerPoller(supervisor=self)
        self.scope = trio.CancelScope()
        self.table = AttemptTable()
        self.worker = make_worker(report)
        self.pacer = TaskPacer(supervisor=self, counters=counters)
        self._order_handler = OrderHandler(supervisor=self, nursery=nursery)

    @property
    def vm(self):
        """Return the identity of the VM.

        It is the address of the worker, which stays the same over boots. If
        another worker listens there, the earlier one has ended.
        """
        return self.report.address

    def state(self):
        """Return the :class:`radishlanding.message.VmState` to report."""
        return VmState(
            boot=self.report.boot,
            zone=self.report.zone,
            pool=self.report.pool,
            labels=list(self.report.labels),
            capacity=self.report.capacity,
            is_draining=self.is_draining,
            remaining_ms=self.report.remaining_ms,
            is_silent=self._poller.is_silent,
        )

    @property
    def is_responsive(self):
        """Return whether the worker has answered the last poll."""
        return self._poller.is_responsive

    @property
    def is_draining(self):
        """Return whether the worker takes no new attempts."""
        return self.report.is_draining or self.is_leaving or self.has_left

    def mark_leaving(self):
        """Start no more attempts, as the worker has deregistered."""
        self.is_leaving = True
        self._refuse_unsent()
        self.table.notify()

    def _refuse_unsent(self):
        """Let the leader place attempts elsewhere that wait to be started."""
        self.table.refuse_unsent(reason="the worker is draining")

    def apply_report(self, report):
        """Store a report of the present boot, unless it is late or odd.

        :param report: A :class:`radishlanding.worker.WorkerReport`.
        """
        if not self._report_filter.accepts(report, self.report):
            return
        if self.has_left:
            self._handle_return(report)
        elif self.is_leaving and report.number > self.report.number:
            _log.info("worker_stays", vm=self.vm, boot=report.boot)
            self.is_leaving = False
            self.table.notify()
        self.update(report)

    def _handle_return(self, report):
        """Follow a boot again that was taken for ended and reports.

        Its attempts were reported as ended and may run elsewhere by now, so
        that those which still run are stopped.

        :param report: The newer report, which the worker has confirmed.
        """
        _log.warning("worker_returns", vm=self.vm, boot=report.boot)
        self.is_leaving = False
        self.has_left = False
        self.has_synced = False
        self.is_partly_listed = False
        self._order_handler.stop_ended()
        self.table.notify()

    def update(self, report):
        """Store a newer report of the worker, and handle a new boot.

        :param report: A :class:`radishlanding.worker.WorkerReport`.
        """
        has_changed = (
            report.is_draining != self.report.is_draining
            or report.boot != self.report.boot
            or report.capacity != self.report.capacity
        )
        if report.boot != self.report.boot:
            _log.warning(
                "worker_reborn",
                vm=self.vm,
                boot=report.boot,
                before=self.report.boot,
            )
            before, self.report = self.report, report
            self._handle_reboot(before)
        self.report = report
        if self.is_draining:
            self._refuse_unsent()
        if has_changed:
            _log.info(
                "worker_state",
                vm=self.vm,
                boot=report.boot,
                draining=report.is_draining,
                remaining_ms=report.remaining_ms,
                number=report.number,
            )
            self.table.notify()

    def _handle_reboot(self, before):
        """End the attempts of the previous boot, and reset its state.

        An attempt that the previous boot never listed, or of which a start
        call is unanswered, may start on the new one, which has the same
        identity; it is stopped there. So are those that have ended while a
        start call was unanswered.

        :param before: The newest report of the previous boot.
        """
        is_replaced = before.worker_id != self.report.worker_id
        ended = [
            task
            for task in self.table.active()
            if task.ends_with_boot or is_replaced
        ]
        self.table.end_tasks(ended, reason="the worker has restarted")
        self.table.reset_end_numbers()
        self.clock.reset()
        self._poller.record_answer()
        self.is_leaving = False
        self.has_left = False
        self.has_synced = False
        self.is_partly_listed = False
        if is_replaced:
            self.worker = self._make_worker(self.report)
        else:
            self._order_handler.refuse_late_starts()
        for task in self.table.active():
            task.leave_boot()
        self.stop([task.key for task in self.table.active()])

    def use_fence(self, fence):
        """Use a newer fencing token, under which a new list is required.

        Welcomes may be handled in another order than they were sent; the
        worker refuses calls with an older token than it has seen.

        :param fence: The token, from the leader.
        """
        if fence <= self.fence:
            return
        self.fence = fence
        # Nothing can start any more on a worker that has left.
        self.has_synced = self.has_left
        self.is_partly_listed = False
        self.table.notify()

    @property
    def can_report(self):
        """Return whether there is something reliable to report.

        That is a complete list under the newest token. Without one it is the
        ends of attempts, if the worker does not answer or has more ends than
        it lists at a time: it lists the others once these are settled.
        """
        cannot_sync = self.is_partly_listed or not self.is_responsive
        return self.has_synced or (cannot_sync and bool(self.table.ended()))

    @property
    def is_sole_witness(self):
        """Return whether only this agent can report how attempts ended.

        A worker that answers lists its attempts to the next agent, too.
        """
        has_gone = self.has_left or self.is_leaving or not self.is_responsive
        return has_gone and self.table.has_attempts()

    def close(self):
        """End the tasks that run in the supervisor's scope."""
        self.scope.cancel()

    def remaining_s(self):
        """Return for how long the worker may be held now, in seconds."""
        return min(self.lease.remaining_s(), self._hold_s)

    async def run(self):
        """Poll the worker and pace its tasks until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.pacer.run)
            await self._poller.run()

    def mark_left(self, reason):
        """Record that the worker and all its attempts have ended.

        :param reason: Why, for reports and the log.
        """
        _log.info("worker_ended", vm=self.vm, reason=reason)
        self.has_left = True
        self.has_synced = True
        self.table.end_all(reason=reason)

    def record_listing(self, listing, *, fence):
        """Record a list under the newest token, until one is complete.

        :param listing: A :class:`radishlanding.worker.AttemptListing`.
        :param fence: Token that it was requested under.
        """
        if fence != self.fence or self.has_synced:
            return
        if self.is_partly_listed and not listing.is_complete:
            return
        self.has_synced = listing.is_complete
        self.is_partly_listed = not listing.is_complete
        _log.info(
            "worker_listed",
            vm=self.vm,
            fence=self.fence,
            running=len(listing.running),
            ended=len(listing.ended),
            complete=listing.is_complete,
        )
        self.table.notify()

    def start(self, message, *, clock_ms):
        """Take start orders; see :meth:`OrderHandler.start`."""
        return self._order_handler.start(message, clock_ms=clock_ms)

    def stop(self, keys):
        """Stop attempts; see :meth:`OrderHandler.stop`."""
        self._order_handler.stop(keys)

    def end_reports(self):
        """Return reports of the ends that are not settled."""
        return [task.end_report() for task in self.table.ended()]

    def running_reports(self):
        """Return reports of attempts that may run."""
        return [task.running_report() for task in self.table.active()]
