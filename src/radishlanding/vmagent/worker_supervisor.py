"""Runs the tasks of one worker."""

import dataclasses

import trio

from radishlanding.message import VmState
from radishlanding.observe import EventLog
from radishlanding.vm import boot_clock_s
from radishlanding.vm import VmLease
from radishlanding.vmagent.attempt_table import AttemptTable
from radishlanding.vmagent.order_handler import OrderHandler
from radishlanding.vmagent.task_pacer import TaskPacer
from radishlanding.vmagent.worker_clock import WorkerClock
from radishlanding.worker import WorkerGone
from radishlanding.worker import WorkerUnavailable

# How long the worker goes on without its agent: the agent's restart takes
# about 2 s. It also bounds how long the work of a silent worker is missed.
HOLD_S = 4.5
# Part of the platform's longest hold that is used at most.
HOLD_SHARE = 0.75
# Longest wait of a look; it also is the pace at which holds are extended.
LOOK_WAIT_S = 0.5
# Pause of looks while ends wait to be on record, as they answer at once.
SETTLE_PAUSE_S = 0.05
RETRY_PAUSE_S = 0.1
# Number of the first report of a worker's boot; later ones may have gone to
# an earlier agent.
FIRST_REPORT = 1

_log = EventLog("radishlanding.vmagent")


class WorkerSupervisor:
    """Start, watch and stop the tasks of one boot of a worker."""

    __slots__ = (
        "_desk",
        "_hold_s",
        "_make_worker",
        "clock",
        "fence",
        "is_answering",
        "has_left",
        "is_listed",
        "is_leaving",
        "lease",
        "pace",
        "report",
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
        """Prepare; :meth:`run` works.

        :param report: The :class:`radishlanding.worker.WorkerReport` that
            told of the worker.
        :param make_worker: Callable that takes a report and returns a
            :class:`radishlanding.worker.LeasedWorker`.
        :param vm_lease_s: How long tasks run without an acknowledgement.
        :param hold_max_s: Longest time that the worker is held by a
            deadline, in seconds.
        :param nursery: Nursery for starts and stops.
        :param counters: Counts of the process.
        """
        self._make_worker = make_worker
        self._hold_s = min(HOLD_S, HOLD_SHARE * hold_max_s)
        self.clock = WorkerClock(
            hold_max_s=hold_max_s, may_be_held=report.number > FIRST_REPORT
        )
        self.fence = 0
        self.is_answering = True
        self.has_left = False
        self.is_leaving = False
        self.is_listed = False
        self.lease = VmLease(duration_s=vm_lease_s)
        self.report = report
        self.table = AttemptTable()
        self.worker = make_worker(report)
        self.pace = TaskPacer(seat=self, counters=counters)
        self._desk = OrderHandler(seat=self, nursery=nursery)

    @property
    def vm(self):
        """Return the identity of the VM.

        It is the address of its worker, which outlives the worker's boots:
        where another worker listens there, the earlier one has ended.
        """
        return self.report.address

    def state(self):
        """Return what to report of the VM."""
        return VmState(
            boot=self.report.boot,
            zone=self.report.zone,
            pool=self.report.pool,
            labels=list(self.report.labels),
            capacity=self.report.capacity,
            is_draining=(
                self.report.is_draining or self.is_leaving or self.has_left
            ),
            remaining_ms=self.report.remaining_ms,
        )

    def update(self, report):
        """Take a newer report of the worker.

        :param report: A :class:`radishlanding.worker.WorkerReport`.
        """
        is_news = (
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
            self._begin_boot(before)
        self.report = report
        if is_news:
            _log.info(
                "worker_state",
                vm=self.vm,
                boot=report.boot,
                draining=report.is_draining,
                remaining_ms=report.remaining_ms,
                number=report.number,
            )
            self.table.notify()

    def _begin_boot(self, before):
        """Drop what only an earlier boot of the worker knew.

        An attempt that the earlier boot never listed may have been started
        on this one, which has the same name; it is stopped there.

        :param before: The newest report of that boot.
        """
        is_renamed = before.worker_id != self.report.worker_id
        surely_gone = [
            task
            for task in self.table.active()
            if task.is_listed or is_renamed
        ]
        self.table.end_each(surely_gone, reason="the worker has started again")
        self.table.reset_numbers()
        self.clock.forget()
        self.is_answering = True
        self.is_leaving = False
        self.has_left = False
        self.is_listed = False
        if is_renamed:
            self.worker = self._make_worker(self.report)
        self.stop([task.key for task in self.table.active()])

    def follow(self, fence):
        """Use a new fencing token; what runs has to be listed again."""
        self.fence = fence
        self.is_listed = False
        self.table.notify()

    def remaining_s(self):
        """Return for how long the worker may go on, in seconds."""
        return min(self.lease.remaining_s(), self._hold_s)

    async def run(self):
        """Hold and watch the worker until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.pace.run)
            while True:
                await self._round()

    async def _round(self):
        if not self.fence or self.has_left:
            with trio.move_on_after(LOOK_WAIT_S):
                await self.table.wait_changed()
            return
        try:
            await self._look()
            self.is_answering = True
        except WorkerGone as exc:
            self._leave(f"{exc}")
            return
        except WorkerUnavailable as exc:
            self.is_answering = False
            self._unavailable(exc)
            await trio.sleep(RETRY_PAUSE_S)
            return
        if self.table.ended():
            with trio.move_on_after(SETTLE_PAUSE_S):
                await self.table.wait_changed()

    def _unavailable(self, exc):
        _log.info("look_failed", vm=self.vm, reason=exc)
        if self.is_leaving:
            self._leave("the worker has left")
        elif self.table.active() and self.clock.has_lapsed():
            self.table.end_all(reason="the worker is silent and has lapsed")

    def _leave(self, reason):
        """Note that the worker has ended, with all that it ran.

        Another one may register in its place.
        """
        _log.info("worker_ended", vm=self.vm, reason=reason)
        self.has_left = True
        self.table.end_all(reason=reason)

    async def _look(self):
        """Hold the worker, and list what is there.

        A worker that did not answer is not held any longer, so that it is
        known when the last deadline that it may have taken has passed.
        """
        remaining_s = self.remaining_s() if self.is_answering else 0
        deadline_ms = None
        if remaining_s > 0 and self.clock.is_known:
            deadline_ms = self.clock.deadline_ms(remaining_s)
        fence, boot = self.fence, self.report.boot
        sent_s = boot_clock_s()
        is_first = not self.is_listed or deadline_ms is None
        look = await self.worker.look(
            fence=fence,
            settled_number=self.table.settled_number,
            deadline_ms=deadline_ms,
            wait_s=0 if is_first or self.table.ended() else LOOK_WAIT_S,
        )
        if look is None or boot != self.report.boot:
            _log.info("look_refused", vm=self.vm, fence=fence, boot=boot)
            await trio.sleep(RETRY_PAUSE_S)
            return
        if look.born_ms > self.report.born_ms:
            # Numbers of ends begin anew with each boot; what was settled in
            # the one before must not settle any of these.
            self.update(
                dataclasses.replace(
                    self.report, born_ms=look.born_ms, number=0
                )
            )
            return
        self.clock.read(look.clock_ms)
        self.table.take_look(look, sent_s=sent_s, now_s=boot_clock_s())
        if fence == self.fence and not self.is_listed:
            self.is_listed = True
            _log.info(
                "worker_listed",
                vm=self.vm,
                fence=fence,
                running=len(look.running),
                ended=len(look.ended),
            )
            self.table.notify()
        if remaining_s <= 0:
            with trio.move_on_after(RETRY_PAUSE_S):
                await self.table.wait_changed()

    def start(self, message, *, clock_ms):
        """Take start orders; see :meth:`OrderHandler.start`."""
        return self._desk.start(message, clock_ms=clock_ms)

    def stop(self, keys):
        """Stop attempts; see :meth:`OrderHandler.stop`."""
        self._desk.stop(keys)

    def ends(self):
        """Return reports of ends that are not known to be on record."""
        return [task.end_report() for task in self.table.ended()]

    def running(self):
        """Return reports of attempts that may run."""
        return [task.running_report() for task in self.table.active()]
