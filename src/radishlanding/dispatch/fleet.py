"""The VMs whose agents follow this leader."""

from radishlanding.dispatch.checkpoint_table import CheckpointTable
from radishlanding.dispatch.checkpoint_table import unrecorded_checkpoints
from radishlanding.dispatch.fleet_loads import FleetLoads
from radishlanding.dispatch.interference_monitor import InterferenceMonitor
from radishlanding.dispatch.lease_table import LeaseTable
from radishlanding.dispatch.vm_health_tracker import VmHealthTracker
from radishlanding.dispatch.vm_session import VmSession
from radishlanding.dispatch.vm_trust_monitor import VmTrustMonitor
from radishlanding.message import VmWelcome
from radishlanding.observe import Counters
from radishlanding.observe import EventLog
from radishlanding.policy import VmTrust
from radishlanding.workflow import TaskEnd

# Fencing tokens of one epoch; more would collide with those of the next.
FENCES_PER_EPOCH = 1 << 20
# Checkpoints in one entry of the log; each takes some 100 bytes.
MAX_CHECKPOINTS = 2000

_log = EventLog("radishlanding.dispatch")


class Fleet:
    """Hold a session for each VM and evaluate its reports."""

    __slots__ = (
        "_checkpoints",
        "_epoch",
        "_fences_issued",
        "_interference_monitor",
        "_leases",
        "_loads",
        "_lost_vms",
        "_registry",
        "_run_time_monitor",
        "_vm_health",
        "_vm_trust_monitor",
        "sessions",
        "uncommitted",
    )

    def __init__(
        self,
        *,
        registry,
        epoch,
        timing,
        interference,
        run_time_monitor=None,
        vm_trust=None,
        counters=None,
        inherited_leases_s=None,
        earlier_leases_start_s=None,
    ):
        """Initialise a fleet without VMs.

        :param registry: The :class:`radishlanding.workflow.WorkflowRegistry`.
        :param epoch: Epoch of the leadership.
        :param timing: A :class:`radishlanding.vm.LeaseTiming`.
        :param interference: The
            :class:`radishlanding.policy.Interference` to train.
        :param run_time_monitor: The :class:`RunTimeMonitor` that gets the
            reports, None for none.
        :param vm_trust: The :class:`radishlanding.policy.VmTrust`, None for a
            new one.
        :param counters: Metrics counters of the process, None for new ones.
        :param inherited_leases_s: See :class:`LeaseTable`.
        :param earlier_leases_start_s: See :class:`LeaseTable`.
        """
        self._registry = registry
        self._checkpoints = CheckpointTable()
        self._epoch = epoch
        self._fences_issued = 0
        vm_trust = vm_trust or VmTrust()
        self._vm_health = VmHealthTracker(vm_trust=vm_trust)
        self._vm_trust_monitor = VmTrustMonitor(
            vm_trust=vm_trust, counters=counters or Counters()
        )
        self._interference_monitor = InterferenceMonitor(
            registry=registry, interference=interference
        )
        self._run_time_monitor = run_time_monitor
        self._leases = LeaseTable(
            timing=timing,
            inherited_leases_s=inherited_leases_s,
            earlier_leases_start_s=earlier_leases_start_s,
        )
        self._loads = FleetLoads(
            registry=registry,
            interference=interference,
            vm_health=self._vm_health,
            vm_trust=vm_trust,
        )
        # Lost VMs whose tasks have no recorded end yet. Each loss counts once,
        # however long the store takes to record them.
        self._lost_vms = set()
        self.sessions = {}
        # Tasks whose end or assignment is not committed yet. No VM knows of
        # these assignments, so that a report without them does not mean that
        # they are missing.
        self.uncommitted = set()

    def open_session(self, hello, conn):
        """Open a session for a VM and issue a fencing token to its agent.

        An agent may introduce a VM again on the same connection. Then the
        session goes on under its token, as orders may be on their way.

        :param hello: A :class:`radishlanding.message.VmHello`.
        :param conn: Connection on which the message arrived.
        :returns: A :class:`radishlanding.message.VmWelcome`.
        """
        session = self.find(hello.vm, conn)
        if session is None:
            session = self._add_session(hello, conn)
            if hello.vm in self._lost_vms:
                self._lost_vms.remove(hello.vm)
            elif self._other_boots(hello.vm, hello.state.boot):
                self._vm_trust_monitor.record_loss(hello.vm)
        else:
            self._vm_trust_monitor.observe_boot(session, hello.state.boot)
            session.state = hello.state
            session.advance_clock(hello.clock_ms)
        self._leases.record_hello(hello.vm)
        boot = hello.state.boot
        self._leases.record_boot(
            hello.vm,
            boot,
            is_new=bool(self._other_boots(hello.vm, boot)),
        )
        return VmWelcome(accepted=True, epoch=self._epoch, fence=session.fence)

    def _add_session(self, hello, conn):
        self._fences_issued += 1
        session = self.sessions[hello.vm] = VmSession(
            vm=hello.vm,
            conn=conn,
            state=hello.state,
            clock_ms=hello.clock_ms,
            fence=self._epoch * FENCES_PER_EPOCH + self._fences_issued,
            reads_specs=hello.reads_specs,
            reads_proof_age=hello.reads_proof_age,
        )
        _log.info(
            "vm_followed",
            vm=hello.vm,
            boot=hello.state.boot,
            zone=hello.state.zone,
            epoch=self._epoch,
            fence=session.fence,
        )
        return session

    def _other_boots(self, vm, boot):
        """Return other boots to which tasks on this VM were assigned."""
        return {task.boot for task in self._registry.tasks_on(vm)} - {boot}

    def drop(self, conn):
        """Close the sessions of a connection; return their VMs."""
        gone = [vm for vm, ses in self.sessions.items() if ses.conn is conn]
        for vm in gone:
            del self.sessions[vm]
            _log.warning("vm_unreachable", vm=vm, epoch=self._epoch)
        return gone

    def find(self, vm, conn):
        """Return the session of a VM if it uses that connection, or None."""
        session = self.sessions.get(vm)
        return session if session and session.conn is conn else None

    def grant(self, session, *, start_s):
        """Record that the lease of a VM is being extended.

        :param session: :class:`VmSession` of the VM.
        :param start_s: When the lease begins, on the boot clock, in seconds.
        """
        self._leases.grant(session.vm, start_s=start_s)

    def update(self, session, report):
        """Apply a report to its session and return the task ends in it.

        :param report: A :class:`radishlanding.message.VmReport`.
        :returns: :class:`radishlanding.workflow.TaskEnd` objects.
        """
        self._vm_trust_monitor.observe_boot(session, report.state.boot)
        session.state = report.state
        self._leases.record_report(session.vm)
        self._leases.record_boot(session.vm, report.state.boot)
        session.advance_clock(report.clock_ms)
        # A list under an older token may lack what was started since.
        is_full = report.is_full and report.fence in (0, session.fence)
        session.has_full_report = session.has_full_report or is_full
        session.running = {task.task_id: task for task in report.running}
        self._checkpoints.record(report.running)
        self._interference_monitor.observe(session)
        if self._run_time_monitor is not None:
            self._run_time_monitor.observe(session)
        self._vm_health.check_stuck(session)
        ends = [self._task_end(session, item) for item in report.ended]
        if is_full:
            ends += self._missing_ends(session, report)
        session.orders_in_flight.prune(clock_ms=report.clock_ms)
        return ends

    def ignore_stuck(self, steps):
        """Take no stuck task of these steps as a sign of a slow VM.

        :param steps: Names of steps, see :func:`step_name`.
        """
        self._vm_health.misestimated = steps

    def stuck_progress(self):
        """Return the progress of each stuck task, in percent by task id."""
        return {
            task.task_id: task.progress
            for session in self.sessions.values()
            for task in session.running.values()
            if task.is_stuck
        }

    def _task_end(self, session, item):
        _log.info(
            "task_ended",
            task=item.task_id,
            attempt=item.attempt,
            vm=session.vm,
            kind=item.kind,
            reason=item.reason,
        )
        if self._run_time_monitor is not None:
            self._run_time_monitor.record_end(session, item)
        return TaskEnd(
            task_id=item.task_id,
            attempt=item.attempt,
            kind=item.kind,
            checkpoint=item.checkpoint,
        )

    def _missing_ends(self, session, report):
        """Return ends for recorded tasks that a full report does not list.

        The agent lists the worker's tasks only after a call with its new
        fencing token, so that no start of an older token can take effect
        after the listing.
        """
        ends = []
        ended = {item.task_id for item in report.ended}
        for task in self._registry.tasks_on(session.vm):
            is_accounted_for = (
                task.task_id in session.running
                or task.task_id in ended
                or task.task_id in self.uncommitted
                or not session.orders_in_flight.may_be_missing(
                    task.task_id, task.attempt, clock_ms=report.clock_ms
                )
            )
            if not is_accounted_for:
                _log.warning(
                    "task_missing",
                    task=task.task_id,
                    attempt=task.attempt,
                    vm=session.vm,
                    boot=task.boot,
                    reported_boot=session.state.boot,
                )
                ends.append(self._checkpoints.interrupted_end(task))
        return ends

    def unrecorded_checkpoints(self):
        """Return the checkpoints of running attempts that are not on record.

        :returns: :class:`radishlanding.workflow.TaskCheckpoint` objects, at
            most ``MAX_CHECKPOINTS``.
        """
        found = []
        for session in self.sessions.values():
            tasks = self._registry.tasks_on(session.vm)
            found += unrecorded_checkpoints(tasks, session.running)
        return found[:MAX_CHECKPOINTS]

    def unwanted_attempts(self, session):
        """Return running attempts that the log does not assign to the VM.

        Changes that are not committed do not count, as the next leader may
        not know them.
        """
        return [
            item
            for item in session.running.values()
            if not self.is_wanted(session, item)
            and not self._is_changing(item.task_id)
        ]

    def _is_changing(self, task_id):
        """Return whether a change of a task is not committed yet."""
        record, task = self._registry.find(task_id)
        if task is None:
            return False
        has_new_end = record.phase.has_ended and not record.has_committed_end
        return has_new_end or task_id in self.uncommitted

    def is_wanted(self, session, item):
        """Return whether the log assigns a running attempt to a VM.

        :param item: A :class:`radishlanding.message.RunningTask`.
        """
        record, task = self._registry.find(item.task_id)
        return (
            task is not None
            and not record.phase.has_ended
            and task.attempt == item.attempt
            and task.vm == session.vm
        )

    def leases_s(self):
        """Return the remaining lease of each busy VM, in seconds."""
        return {
            vm: max(0.0, self._leases.remaining_s(vm))
            for vm in self._registry.busy_vms()
        }

    def has_lost(self, vm):
        """Return whether the lease of a VM has surely expired."""
        return self._leases.has_expired(vm)

    def lost_vm_ends(self):
        """Return ends for all tasks on VMs whose lease has expired."""
        ends = []
        busy_vms = self._registry.busy_vms()
        self._lost_vms.intersection_update(busy_vms)
        for vm in busy_vms:
            if not self._leases.has_expired(vm):
                continue
            self.sessions.pop(vm, None)
            tasks = self._registry.tasks_on(vm)
            if vm not in self._lost_vms:
                self._lost_vms.add(vm)
                _log.warning("vm_lost", vm=vm, tasks=len(tasks))
                self._vm_trust_monitor.record_loss(vm)
            ends += map(self._checkpoints.interrupted_end, tasks)
        return ends

    def running_tasks(self, loads):
        """Return the tasks that run on some VMs.

        :param loads: :class:`radishlanding.policy.VmLoad` objects.
        :returns: Tuples of workflow record, task record, step and load.
        """
        found = []
        for load in loads:
            running = self.sessions[load.vm].running
            for task in self._registry.tasks_on(load.vm):
                if task.task_id not in running:
                    continue
                record, step = self._loads.step_of(task)
                found.append((record, task, step, load))
        return found

    def image_weights(self, session):
        """Return the known weights of the best-effort images on a VM."""
        return self._interference_monitor.image_weights(session)

    def prune_ended(self):
        """Drop what is held of tasks and workflows that have ended."""
        self._interference_monitor.prune_ended(self.sessions.values())
        self._vm_health.prune_ended(self._registry)
        self._vm_trust_monitor.review()
        self._checkpoints.prune(self._registry)

    def record_end(self, end, vm):
        """Update the health of a VM from the end of a task on it."""
        session = self.sessions.get(vm)
        if session is None:
            return
        record, _ = self._registry.find(end.task_id)
        self._vm_health.record_end(
            end,
            session,
            is_gang=record is not None and record.is_gang(end.task_id),
        )

    def loads(self, site, *, with_stuck=False):
        """Return the loads of VMs that may take new tasks.

        :param site: The current :class:`radishlanding.config.Site`.
        :param with_stuck: Whether to include VMs on which tasks are stuck,
            which only the planner can tell when to use.
        :returns: :class:`radishlanding.policy.VmLoad` objects, which callers
            may change.
        """
        loads = self._loads.available(self.sessions.values(), site)
        return [load for load in loads if with_stuck or not load.is_stuck]

    def exclusions(self, site):
        """Return how many VMs take no new tasks, by reason.

        :param site: The current :class:`radishlanding.config.Site`.
        """
        return self._loads.exclusions(self.sessions.values(), site)

    def all_loads(self):
        """Return the loads of all VMs."""
        return [self._loads.load(ses) for ses in self.sessions.values()]
