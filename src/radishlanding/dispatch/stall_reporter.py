"""Logs the workflows whose assigned attempts do not run."""

from radishlanding.observe import EventLog
from radishlanding.vm import boot_clock_s

# Longer than a start and the report of it take.
MIN_STALL_MS = 2500
REPORT_INTERVAL_S = 5.0
# Lines in one report, for the workflows that have stood still the longest.
MAX_LINES = 3
# Attempts in one line, the oldest ones.
MAX_ATTEMPTS = 3

_log = EventLog("radishlanding.dispatch")


class StallReporter:
    """Report the workflows that have stood still for some seconds.

    Operators see on which VMs they hang, and what is known of the attempts
    there. :class:`WaitReporter` reports those without an attempt.
    """

    __slots__ = (
        "_counters",
        "_due_s",
        "_monitor",
        "_registry",
        "_reported",
        "_stalled_ms",
    )

    def __init__(self, *, registry, monitor, counters):
        """Initialise the reporter.

        :param registry: The :class:`radishlanding.workflow.WorkflowRegistry`.
        :param monitor: The :class:`StartMonitor`.
        :param counters: Metrics counters of the process.
        """
        self._counters = counters
        self._due_s = 0.0
        self._monitor = monitor
        self._registry = registry
        # Workflows with a line in the present stall.
        self._reported = set()
        # Milliseconds of all present stalls by workflow.
        self._stalled_ms = {}

    def report(self):
        """Log the longest stalls, and those that are over.

        To be called after each update of the monitor.
        """
        before_ms = self._stalled_ms
        self._stalled_ms = _long_stalls(self._monitor.stalled_ms())
        new = self._stalled_ms.keys() - before_ms.keys()
        if new:
            self._counters.add("workflows_stalled", len(new))
        for workflow_id in self._reported - self._stalled_ms.keys():
            if self._registry.is_open(workflow_id):
                _log.info(
                    "workflow_resumed",
                    workflow=workflow_id,
                    stalled_ms=before_ms[workflow_id],
                )
        self._reported.intersection_update(self._stalled_ms)
        if boot_clock_s() >= self._due_s:
            self._log_longest()

    def _log_longest(self):
        waiting_ms = _long_stalls(self._monitor.waiting_ms())
        if not waiting_ms:
            return
        self._due_s = boot_clock_s() + REPORT_INTERVAL_S
        longest = sorted(waiting_ms, key=waiting_ms.get, reverse=True)
        for workflow_id in longest[:MAX_LINES]:
            self._log_stall(workflow_id, waiting_ms)
            self._reported.add(workflow_id)

    def _log_stall(self, workflow_id, waiting_ms):
        waiting = self._monitor.waiting_attempts(workflow_id)[:MAX_ATTEMPTS]
        _log.warning(
            "workflow_stalled",
            workflow=workflow_id,
            stalled_ms=waiting_ms[workflow_id],
            attempts=self._monitor.attempt_count(workflow_id),
            stalled=len(waiting_ms),
            tasks=",".join(
                f"{item.task_id}#{item.attempt}" for item in waiting
            ),
            vms=",".join(item.vm for item in waiting),
            ages_ms=",".join(str(item.age_ms) for item in waiting),
            states=",".join(item.state for item in waiting),
        )


def _long_stalls(stalled_ms):
    """Return the stalls that are long enough to be reported."""
    return {
        workflow_id: time_ms
        for workflow_id, time_ms in stalled_ms.items()
        if time_ms >= MIN_STALL_MS
    }
