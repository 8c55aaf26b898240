"""The workers that an agent supervises."""

import trio

from radishlanding.observe import EventLog
from radishlanding.vmagent.worker_supervisor import WorkerSupervisor
from radishlanding.worker import BootCheck
from radishlanding.worker import WorkerUnavailable

# Workers on one VM: the running one, and those whose ends are not settled.
MAX_WORKERS = 16
# Unknown addresses that are asked for their worker at the same time.
MAX_CHECKS = 16
# An unhealthy worker refuses some calls.
CHECK_ATTEMPTS = 3
RETRY_DELAY_S = 0.1
# Identities whose unconfirmed reports have been logged.
MAX_LOGGED_WORKERS = 100

_log = EventLog("radishlanding.vmagent")


class WorkerRegistry:
    """Keep a supervisor for each worker that has reported.

    A report proves nothing about the worker at its address: it may be late,
    or come from another writer. A report that names a boot which is not
    supervised yet, or that was taken for ended, takes effect once the worker
    at the address has confirmed that it is this boot.
    """

    __slots__ = (
        "_checked",
        "_counters",
        "_hold_max_s",
        "_logged",
        "_make_worker",
        "_nursery",
        "_run_supervisor",
        "_vm_lease_s",
        "supervisors",
    )

    def __init__(self, *, make_worker, vm_lease_s, hold_max_s, counters):
        """Start without workers; call :meth:`open` before reports arrive.

        :param make_worker: Callable that takes a report and returns a
            :class:`radishlanding.worker.LeasedWorker`.
        :param vm_lease_s: See :class:`WorkerSupervisor`.
        :param hold_max_s: See :class:`WorkerSupervisor`.
        :param counters: The process's :class:`radishlanding.observe.Counters`.
        """
        # Addresses whose worker is being asked.
        self._checked = set()
        self._counters = counters
        self._hold_max_s = hold_max_s
        self._logged = set()
        self._make_worker = make_worker
        self._nursery = None
        self._run_supervisor = None
        self._vm_lease_s = vm_lease_s
        # By VM, which is the address of the worker.
        self.supervisors = {}

    def open(self, nursery, *, run_supervisor):
        """Set where supervisors run.

        :param nursery: Nursery of the supervisors and of calls to workers.
        :param run_supervisor: Coroutine function that takes a supervisor.
        """
        self._nursery = nursery
        self._run_supervisor = run_supervisor

    def worker_reported(self, report):
        """Start or update the supervisor of a worker that has reported.

        :param report: A :class:`radishlanding.worker.WorkerReport`; an
            outdated or unconfirmed one has no effect.
        """
        supervisor = self.supervisors.get(report.address)
        if (
            supervisor is not None
            and supervisor.report.boot == report.boot
            and not supervisor.has_left
        ):
            supervisor.apply_report(report)
        elif report.address in self._checked:
            # The worker reports again.
            self._counters.add("reports_skipped")
        elif supervisor is None and len(self._checked) >= MAX_CHECKS:
            self._counters.add("workers_refused")
        else:
            self._checked.add(report.address)
            self._nursery.start_soon(self._check, report)

    async def _check(self, report):
        """Apply a report if the worker at its address confirms its boot."""
        supervisor = self.supervisors.get(report.address)
        try:
            found = await self._ask(report, supervisor)
        except WorkerUnavailable as exc:
            self._record_unconfirmed(report, exc)
            return
        finally:
            self._checked.discard(report.address)
        if supervisor is not self.supervisors.get(report.address):
            return
        is_same_worker = (
            supervisor is not None
            and supervisor.report.worker_id == report.worker_id
        )
        if found is BootCheck.OTHER or (
            found is BootCheck.UNDATED and is_same_worker
        ):
            self._record_unconfirmed(report, "another boot answers")
        elif supervisor is not None:
            if supervisor.report.boot == report.boot:
                # A list has shown this boot meanwhile.
                supervisor.apply_report(report)
            else:
                supervisor.update(report)
        elif self._has_room():
            self._add_supervisor(report)
        else:
            self._counters.add("workers_refused")
            _log.warning(
                "worker_refused",
                vm=report.address,
                worker=report.worker_id,
                supervised=len(self.supervisors),
            )

    async def _ask(self, report, supervisor):
        """Return what the worker at an address says of a reported boot.

        :param supervisor: The :class:`WorkerSupervisor` of the address, or
            None.
        :returns: A :class:`radishlanding.worker.BootCheck`.
        :raises WorkerUnavailable: It gave no answer in several attempts.
        """
        worker = self._make_worker(report)
        fence = supervisor.fence if supervisor else 0
        for _ in range(CHECK_ATTEMPTS - 1):
            try:
                return await worker.check_boot(
                    fence=fence, born_ms=report.born_ms
                )
            except WorkerUnavailable as exc:
                if exc.was_refused:
                    raise
                _log.info("check_failed", vm=report.address, reason=exc)
                await trio.sleep(RETRY_DELAY_S)
        return await worker.check_boot(fence=fence, born_ms=report.born_ms)

    def _record_unconfirmed(self, report, reason):
        """Count an unconfirmed report; log it once for a boot."""
        self._counters.add("reports_unconfirmed")
        key = (report.address, report.boot)
        if key in self._logged:
            return
        if len(self._logged) >= MAX_LOGGED_WORKERS:
            self._logged.clear()
        self._logged.add(key)
        _log.warning(
            "report_unconfirmed",
            vm=report.address,
            boot=report.boot,
            pool=report.pool,
            reason=reason,
        )

    def _has_room(self):
        """Return whether another worker can be supervised.

        Supervisors whose worker has left, or does not answer, are removed
        once all ends are settled.
        """
        for vm, supervisor in list(self.supervisors.items()):
            if len(self.supervisors) < MAX_WORKERS:
                break
            has_gone = supervisor.has_left or not supervisor.is_responsive
            if has_gone and not supervisor.table.has_attempts():
                del self.supervisors[vm]
                supervisor.close()
                _log.info("worker_removed", vm=vm)
        return len(self.supervisors) < MAX_WORKERS

    def _add_supervisor(self, report):
        supervisor = WorkerSupervisor(
            report=report,
            make_worker=self._make_worker,
            vm_lease_s=self._vm_lease_s,
            hold_max_s=self._hold_max_s,
            nursery=self._nursery,
            counters=self._counters,
        )
        self.supervisors[supervisor.vm] = supervisor
        _log.info(
            "worker_found",
            vm=supervisor.vm,
            boot=report.boot,
            pool=report.pool,
            millicores=report.capacity.millicores,
            memory_mb=report.capacity.memory_mb,
        )
        self._nursery.start_soon(self._run_supervisor, supervisor)

    def worker_left(self, worker_id):
        """Mark a worker as leaving after it has deregistered.

        :param worker_id: Identity of the worker.
        """
        for supervisor in self.supervisors.values():
            if supervisor.report.worker_id == worker_id:
                _log.info("worker_leaves", vm=supervisor.vm, worker=worker_id)
                supervisor.mark_leaving()
