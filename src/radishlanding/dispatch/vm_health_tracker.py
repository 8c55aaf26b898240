"""Tracks the health of VMs by the outcome of their tasks."""

from radishlanding.observe import EventLog
from radishlanding.policy import Quarantine
from radishlanding.policy import step_name
from radishlanding.policy import VmTrust
from radishlanding.vm import boot_clock_s
from radishlanding.workflow import EndKind
from radishlanding.workflow import TaskId

# One report interval, after which the VM's free capacity is up to date.
REFUSAL_BACKOFF_S = 0.7
# Distinct workflows that fail on one VM in a row, and on no other VM, show
# that the VM is faulty.
QUARANTINE_WORKFLOWS = 3
# Impairments of workers last about twice the shortest quarantine, and hardly
# any lasts much longer than the longest.
MIN_QUARANTINE_S = 3.0
MAX_QUARANTINE_S = 8.0
# Distinct workflows with stuck tasks on one VM show that the VM is faulty.
STUCK_WORKFLOWS = 2
STUCK_BACKOFF_S = 3.0

_log = EventLog("radishlanding.dispatch")


class VmHealthTracker:
    """Keep tasks away from VMs that fail, refuse or stall them."""

    __slots__ = (
        "_failed_gangs",
        "_failed_vms",
        "_quarantines",
        "_vm_trust",
        "misestimated",
    )

    def __init__(self, *, vm_trust=None):
        """Initialise the tracker with all VMs healthy.

        :param vm_trust: The :class:`radishlanding.policy.VmTrust` that is
            told of failures and successes, None for a new one.
        """
        self._vm_trust = vm_trust or VmTrust()
        # VM, step and attempt of gangs that have failed.
        self._failed_gangs = set()
        # VMs on which a workflow has failed, by its identity.
        self._failed_vms = {}
        self._quarantines = {}
        # Names of steps whose tasks say nothing about the speed of a VM.
        self.misestimated = frozenset()

    @property
    def failed_workflows(self):
        """Return the number of workflows with failures on record."""
        return len(self._failed_vms)

    def record_end(self, end, session, *, is_gang=False):
        """Update the health of a VM from the end of a task on it.

        :param end: A :class:`radishlanding.workflow.TaskEnd`.
        :param session: The :class:`VmSession` that reported it.
        :param is_gang: Whether the task is a member of a gang. Those that
            fail in one attempt on one VM are one failure.
        """
        if end.kind == EndKind.FAILED:
            if is_gang:
                failure = session.vm, step_name(end.task_id), end.attempt
                if failure in self._failed_gangs:
                    return
                self._failed_gangs.add(failure)
            self._record_failure(end, session.vm)
        elif end.kind == EndKind.DONE:
            self._quarantines.pop(session.vm, None)
            self._vm_trust.record_success(session.vm, now_s=boot_clock_s())
        elif end.kind == EndKind.NOT_RUN:
            session.backoff_until_s = boot_clock_s() + REFUSAL_BACKOFF_S

    def _record_failure(self, end, vm):
        """Count a failure against its VM.

        A workflow that has failed on several VMs is itself the cause.
        """
        workflow_id = TaskId.parse(end.task_id).workflow_id
        failed_vms = self._failed_vms.setdefault(workflow_id, set())
        if len(failed_vms) == 1 and vm not in failed_vms:
            (first,) = failed_vms
            self._vm_trust.withdraw_failure(first, now_s=boot_clock_s())
        failed_vms.add(vm)
        if len(failed_vms) > 1:
            return
        self._vm_trust.record_failure(vm, now_s=boot_clock_s())
        quarantine = self._quarantines.setdefault(
            vm,
            Quarantine(
                min_distinct=QUARANTINE_WORKFLOWS,
                min_duration_s=MIN_QUARANTINE_S,
                max_duration_s=MAX_QUARANTINE_S,
            ),
        )
        quarantine.record_failure(workflow_id, now_s=boot_clock_s())
        if self.max_new_tasks(vm, running=0) == 0:
            _log.warning("vm_quarantined", vm=vm)

    def prune_ended(self, registry):
        """Drop the failures of workflows that have ended.

        :param registry: The :class:`radishlanding.workflow.WorkflowRegistry`.
        """
        self._failed_vms = {
            workflow_id: vms
            for workflow_id, vms in self._failed_vms.items()
            if registry.is_open(workflow_id)
        }
        self._failed_gangs = {
            (vm, step, attempt)
            for vm, step, attempt in self._failed_gangs
            if registry.is_open(step.partition(".")[0])
        }

    def max_new_tasks(self, vm, *, running):
        """Return how many new tasks a VM may take, None for no limit.

        :param vm: Identity of the VM.
        :param running: Number of its tasks that are not standing.
        """
        quarantine = self._quarantines.get(vm)
        if quarantine is None:
            return None
        return quarantine.max_new_tasks(running=running, now_s=boot_clock_s())

    def is_probing(self, vm):
        """Return whether a VM takes one task at a time after a quarantine.

        :param vm: Identity of the VM.
        """
        quarantine = self._quarantines.get(vm)
        return quarantine is not None and quarantine.is_probing(boot_clock_s())

    def check_stuck(self, session):
        """Back off from a VM on which tasks of several workflows are stuck."""
        workflow_ids = {
            task.task_id.partition(".")[0]
            for task in session.running.values()
            if task.is_stuck
            and step_name(task.task_id) not in self.misestimated
        }
        if len(workflow_ids) < STUCK_WORKFLOWS:
            return
        now_s = boot_clock_s()
        if session.stuck_until_s < now_s:
            _log.warning(
                "vm_stuck", vm=session.vm, workflows=len(workflow_ids)
            )
        session.stuck_until_s = now_s + STUCK_BACKOFF_S
