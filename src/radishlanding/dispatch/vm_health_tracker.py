"""Judges VMs by what becomes of the tasks on them."""

from radishlanding.observe import EventLog
from radishlanding.policy import Quarantine
from radishlanding.vm import boot_clock_s
from radishlanding.workflow import EndKind
from radishlanding.workflow import TaskId

# Pause after a worker refused a start: one heartbeat with news of its room.
REFUSAL_BACKOFF_S = 0.7
# Workflows that fail on one VM in a row, and nowhere else, show that it is
# the VM. The pause is half of what impairments of workers last, and none of
# them lasts much longer than the longest.
QUARANTINE_WORKFLOWS = 3
MIN_QUARANTINE_S = 3.0
MAX_QUARANTINE_S = 8.0
# Distinct workflows that stand still on a VM show that it is the VM.
STUCK_WORKFLOWS = 2
STUCK_BACKOFF_S = 3.0

_log = EventLog("radishlanding.dispatch")


class VmHealthTracker:
    """Keep tasks away from VMs that fail, refuse or stall them."""

    __slots__ = ("_failed_on", "_quarantines")

    def __init__(self):
        """Start with trust in every VM."""
        # VMs on which a workflow has failed, by its name.
        self._failed_on = {}
        self._quarantines = {}

    def record_end(self, end, session):
        """Note what an end says of its VM.

        :param end: A :class:`radishlanding.workflow.TaskEnd`.
        :param session: The :class:`VmSession` that reported it.
        """
        if end.kind == EndKind.FAILED:
            self._record_failure(end, session.vm)
        elif end.kind == EndKind.DONE:
            self._quarantines.pop(session.vm, None)
        elif end.kind == EndKind.NOT_RUN:
            session.backoff_until_s = boot_clock_s() + REFUSAL_BACKOFF_S

    def _record_failure(self, end, vm):
        """Count a failure against its VM, unless the workflow is at fault."""
        name = TaskId.parse(end.task_id).workflow_id
        failed_on = self._failed_on.setdefault(name, set())
        failed_on.add(vm)
        if len(failed_on) > 1:
            return
        quarantine = self._quarantines.setdefault(
            vm,
            Quarantine(
                min_distinct=QUARANTINE_WORKFLOWS,
                min_pause_s=MIN_QUARANTINE_S,
                max_pause_s=MAX_QUARANTINE_S,
            ),
        )
        quarantine.record_failure(name, now_s=boot_clock_s())
        if self.max_new_tasks(vm, running=0) == 0:
            _log.warning("vm_quarantined", vm=vm)

    def max_new_tasks(self, vm, *, running):
        """Return how many tasks a VM may take at most, None for any.

        :param running: Tasks on it that do not last.
        """
        quarantine = self._quarantines.get(vm)
        if quarantine is None:
            return None
        return quarantine.max_new_tasks(running=running, now_s=boot_clock_s())

    def check_stuck(self, session):
        """Shun a VM on which the tasks of several workflows stand still."""
        names = {
            task.task_id.partition(".")[0]
            for task in session.running.values()
            if task.is_stuck
        }
        if len(names) < STUCK_WORKFLOWS:
            return
        now_s = boot_clock_s()
        if session.backoff_until_s < now_s:
            _log.warning("vm_stuck", vm=session.vm, workflows=len(names))
        session.backoff_until_s = max(
            session.backoff_until_s, now_s + STUCK_BACKOFF_S
        )
