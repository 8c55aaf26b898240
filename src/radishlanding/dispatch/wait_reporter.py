"""Logs why ready workflows wait."""

from radishlanding.dispatch.wall_clock import now_ms
from radishlanding.observe import EventLog
from radishlanding.vm import boot_clock_s

# Longer than placement leaves a workflow idle where there is free capacity.
MIN_IDLE_MS = 2500
REPORT_INTERVAL_S = 5.0
# Lines in one report, for the workflows that have waited the longest.
MAX_LINES = 3

_log = EventLog("radishlanding.dispatch")


class WaitReporter:
    """Report the workflows that have waited for some seconds.

    Operators see which rule keeps a ready workflow from how many VMs.
    """

    __slots__ = ("_due_s", "_fleet", "_planner", "_registry", "_site_watch")

    def __init__(self, *, registry, planner, fleet, site_watch):
        """Initialise the reporter.

        :param registry: The :class:`radishlanding.workflow.WorkflowRegistry`.
        :param planner: A :class:`radishlanding.policy.WorkflowPlanner`.
        :param fleet: The :class:`Fleet`.
        :param site_watch: A :class:`SiteWatch`.
        """
        self._due_s = 0.0
        self._fleet = fleet
        self._planner = planner
        self._registry = registry
        self._site_watch = site_watch

    def report(self):
        """Log the longest waits; to be called every second."""
        if not self._site_watch.is_ready or boot_clock_s() < self._due_s:
            return
        at_ms = now_ms()
        waiting = self._waiting_records(at_ms)
        if not waiting:
            return
        self._due_s = boot_clock_s() + REPORT_INTERVAL_S
        site = self._site_watch.site
        loads = self._fleet.loads(site, with_stuck=True)
        excluded = _join(self._fleet.exclusions(site))
        lines = 0
        for record in waiting:
            wait = self._planner.explain(record, loads, now_ms=at_ms)
            # Nothing of a repeated workflow may be due.
            if wait is None:
                continue
            _log.warning(
                "workflow_waits",
                workflow=wait.workflow_id,
                step=wait.step,
                tasks=wait.tasks,
                idle_ms=wait.idle_ms,
                vms_free=wait.vms,
                refused=_join(wait.refusals),
                excluded=excluded,
                waiting=len(waiting),
                order=_join(self._planner.explain_rank(record)),
            )
            lines += 1
            if lines == MAX_LINES:
                break

    def _waiting_records(self, at_ms):
        """Return the records of idle workflows, the longest wait first."""
        records = [
            record
            for record in self._registry.workflows.values()
            if not record.phase.has_ended
            and not self._planner.is_fully_placed(record)
            and self._planner.idle_ms(record, now_ms=at_ms) >= MIN_IDLE_MS
        ]
        return sorted(
            records,
            key=lambda record: -self._planner.idle_ms(record, now_ms=at_ms),
        )


def _join(counts):
    """Return values by name as text, ``none`` for no values."""
    pairs = sorted(counts.items())
    return ",".join(f"{name}:{count}" for name, count in pairs) or "none"
