"""Measures run times from the reports of VMs."""

from radishlanding.dispatch.work_anchor import WorkAnchor
from radishlanding.observe import EventLog
from radishlanding.policy import FULL_PERCENT
from radishlanding.vm import boot_clock_s
from radishlanding.workflow import EndKind
from radishlanding.workflow import TaskId

# Progress is reported in whole percents: a tenth of the work gives a run time
# within a tenth, and several samples of each attempt while it runs.
MIN_PROGRESS = 10
# Anchors of a VM beyond twice its running attempts are of ended ones.
SPARE_ANCHORS = 16

_log = EventLog("radishlanding.dispatch")


class RunTimeMonitor:
    """Feed the run times of attempts to the estimates and to VM trust.

    A run time is the quotient of the differences of time and progress since
    an earlier report of the same attempt. It thus leaves out what the attempt
    resumed from, and what it did before its agent measured it.
    """

    __slots__ = ("_counters", "_registry", "_run_times", "_vm_trust")

    def __init__(self, *, registry, run_times, vm_trust, counters):
        """Initialise the monitor.

        :param registry: The :class:`radishlanding.workflow.WorkflowRegistry`.
        :param run_times: The estimates that learn, such as
            :class:`radishlanding.policy.LearnedRunTimes`.
        :param vm_trust: The :class:`radishlanding.policy.VmTrust` that learns
            from attempts at full pace.
        :param counters: Metrics counters of the process.
        """
        self._counters = counters
        self._registry = registry
        self._run_times = run_times
        self._vm_trust = vm_trust

    def observe(self, session):
        """Measure the running attempts of a VM.

        :param session: The :class:`VmSession` with a new report.
        """
        anchors = session.work_anchors
        for item in session.running.values():
            if not item.full_pace_ms:
                # Not measured yet, or measured anew.
                anchors.pop(item.task_id, None)
                continue
            anchor = anchors.get(item.task_id)
            if anchor is None or not _continues(anchor, item):
                anchors[item.task_id] = _anchor(item)
                continue
            anchor.pace_percent = min(anchor.pace_percent, item.pace_percent)
            if item.progress - anchor.progress >= MIN_PROGRESS:
                self._measure(session, item, anchor, progress=item.progress)
                anchors[item.task_id] = _anchor(item)
        if len(anchors) > 2 * len(session.running) + SPARE_ANCHORS:
            session.work_anchors = {
                task_id: anchor
                for task_id, anchor in anchors.items()
                if task_id in session.running
            }

    def record_end(self, session, item):
        """Measure the last part of an attempt that is done.

        :param session: The :class:`VmSession` that reported it.
        :param item: The :class:`radishlanding.message.TaskEndReport`, which
            may be reported again.
        """
        anchor = session.work_anchors.pop(item.task_id, None)
        if (
            anchor is not None
            and item.kind == EndKind.DONE
            and anchor.attempt == item.attempt
            and anchor.progress <= 100 - MIN_PROGRESS
        ):
            self._measure(session, item, anchor, progress=100)

    def _measure(self, session, item, anchor, *, progress):
        spent_ms = item.full_pace_ms - anchor.full_pace_ms
        record, task = self._registry.find(item.task_id)
        if spent_ms <= 0 or task is None or task.attempt != item.attempt:
            return
        if not record.workflow.steps:
            return
        workflow, number = record.workflow, TaskId.parse(item.task_id).step
        if workflow.steps[number].standing:
            return
        gained = progress - anchor.progress
        run_ms, weight = 100 * spent_ms / gained, gained / 100
        self._counters.add("run_time_samples")
        if anchor.pace_percent == FULL_PERCENT:
            self._vm_trust.observe_run(
                session.vm,
                (workflow.workflow_id, number),
                run_ms=run_ms,
                weight=weight,
                now_s=boot_clock_s(),
            )
        is_shared = self._run_times.observe(
            workflow, number, run_ms=run_ms, weight=weight
        )
        if is_shared:
            self._log_learned(workflow, number)

    def _log_learned(self, workflow, number):
        estimate = self._run_times.estimate(workflow, number)
        self._counters.add("run_times_learned")
        _log.info(
            "run_time_learned",
            workflow=workflow.workflow_id,
            step=number,
            queue=workflow.queue,
            image=workflow.steps[number].image or "none",
            estimated_ms=workflow.steps[number].estimated_ms,
            learned_ms=round(estimate.run_ms),
            spread=f"{estimate.spread:.2f}",
            samples=f"{estimate.samples:.1f}",
        )


def _continues(anchor, item):
    """Return whether a report goes on from an anchor.

    :param item: The :class:`radishlanding.message.RunningTask`.
    """
    return (
        anchor.attempt == item.attempt
        and anchor.full_pace_ms <= item.full_pace_ms
        and anchor.progress <= item.progress
    )


def _anchor(item):
    return WorkAnchor(
        attempt=item.attempt,
        full_pace_ms=item.full_pace_ms,
        progress=item.progress,
        pace_percent=item.pace_percent,
    )
