"""Measures how a site comes back under a new leader."""

from radishlanding.observe import EventLog
from radishlanding.vm import boot_clock_s
from radishlanding.workflow import TaskId

STAGES = (
    "process_age",
    "log_read",
    "vms_followed",
    "first_start",
    "standing_assigned",
)
# A VM that has not been followed by then is taken for lost soon.
MAX_RECOVERY_S = 30.0

_log = EventLog("radishlanding.dispatch")


class RecoveryMonitor:
    """Log once in a leadership how long each stage took to come back.

    The stages end when the log is read, when all VMs that the log names are
    followed, when the first start is ordered, and when each standing task
    that the log names is assigned to a VM that is followed. Their seconds
    count from the claim of the log; ``process_age`` counts from when the
    process listened until that claim. Stages are looked at in each tick of
    the leader, a quarter of a second apart.
    """

    __slots__ = (
        "_begun_s",
        "_counters",
        "_fleet",
        "_is_over",
        "_registry",
        "_stages_s",
        "_starts_before",
        "_vms",
    )

    def __init__(
        self, *, registry, fleet, counters, claimed_s, listening_s=None
    ):
        """Start measuring; the log has been read.

        :param registry: The :class:`radishlanding.workflow.WorkflowRegistry`
            that was recovered from the log.
        :param fleet: The :class:`Fleet`.
        :param counters: Metrics counters of the process.
        :param claimed_s: Time on the boot clock, in seconds, at which the
            claim of the log began.
        :param listening_s: The same, at which the process listened; None if
            that is not known.
        """
        self._begun_s = claimed_s
        self._counters = counters
        self._fleet = fleet
        self._is_over = False
        self._registry = registry
        self._stages_s = {"log_read": boot_clock_s() - claimed_s}
        if listening_s is not None:
            self._stages_s["process_age"] = claimed_s - listening_s
        self._starts_before = counters.get("start_orders")
        self._vms = set(registry.busy_vms())

    def check(self):
        """Note the stages that have ended; to be called in each tick."""
        if self._is_over:
            return
        age_s = boot_clock_s() - self._begun_s
        missing = self._missing_vms()
        waiting, standing = self._count_standing()
        if not missing:
            self._stages_s.setdefault("vms_followed", age_s)
        if self._counters.get("start_orders") > self._starts_before:
            self._stages_s.setdefault("first_start", age_s)
        if not waiting:
            self._stages_s.setdefault("standing_assigned", age_s)
        if (missing or waiting) and age_s < MAX_RECOVERY_S:
            return
        self._is_over = True
        self._report(len(missing), waiting, standing)

    def _report(self, missing, waiting, standing):
        for stage, took_s in self._stages_s.items():
            self._counters.record_duration(
                f"recovery_{stage}", since_s=0.0, now_s=took_s
            )
        self._counters.add("recoveries")
        self._counters.add("recoveries_incomplete", bool(missing or waiting))
        _log.info(
            "recovered",
            vms=len(self._vms),
            vms_missing=missing,
            standing=standing,
            standing_waiting=waiting,
            **{f"{stage}_s": self._text(stage) for stage in STAGES},
        )

    def _text(self, stage):
        """Return the seconds of a stage, ``none`` if it has not ended."""
        took_s = self._stages_s.get(stage)
        return "none" if took_s is None else f"{took_s:.3f}"

    def _missing_vms(self):
        """Return the VMs in the log whose state is not known yet."""
        return [vm for vm in self._vms if not self._is_followed(vm)]

    def _is_followed(self, vm):
        session = self._fleet.sessions.get(vm)
        return session is not None and session.has_full_report

    def _count_standing(self):
        """Return how many standing tasks wait, and how many there are.

        Tasks that were never assigned do not count. Those that are assigned
        to an earlier boot of their VM, or to one that is not followed, wait.
        """
        tasks = [
            task
            for record in self._registry.workflows.values()
            if record.workflow.is_standing and not record.phase.has_ended
            for task in record.tasks.values()
            if record.workflow.steps[TaskId.parse(task.task_id).step].standing
        ]
        return len(tasks) - sum(map(self._is_back, tasks)), len(tasks)

    def _is_back(self, task):
        return (
            task.is_assigned
            and self._is_followed(task.vm)
            and self._fleet.sessions[task.vm].state.boot == task.boot
        )
