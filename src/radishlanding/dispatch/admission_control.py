"""Refuses workflows that could only end when they are worth nothing."""

import collections

from radishlanding.dispatch.backlog import Backlog
from radishlanding.dispatch.wall_clock import now_ms
from radishlanding.observe import EventLog
from radishlanding.policy import Admission
from radishlanding.policy import finite_rooms
from radishlanding.policy import has_first_task_room
from radishlanding.policy import Prospect
from radishlanding.policy import work_left
from radishlanding.workflow import WorkflowRecord

# Part of the room that counts even if less work was done: a queue that has
# just filled up has done little.
MIN_ROOM_SHARE = 0.25

_log = EventLog("radishlanding.dispatch")


class AdmissionControl:
    """Predict when a submitted workflow would end, and decide about it."""

    __slots__ = (
        "_admission",
        "_clock_ms",
        "_counters",
        "_fleet",
        "_loads",
        "_overloads",
        "_planner",
        "_registry",
        "_rooms",
        "_run_times",
        "_site_watch",
        "backlog",
        "refused",
        "submitted",
    )

    def __init__(
        self,
        *,
        registry,
        planner,
        fleet,
        site_watch,
        run_times,
        counters,
        clock_ms=now_ms,
    ):
        """Initialise with an empty history.

        :param registry: The :class:`radishlanding.workflow.WorkflowRegistry`.
        :param planner: A :class:`radishlanding.policy.WorkflowPlanner`.
        :param fleet: The :class:`Fleet`.
        :param site_watch: A :class:`SiteWatch`.
        :param run_times: A :class:`radishlanding.policy.RunTimes`.
        :param counters: Metrics counters of the process.
        :param clock_ms: Callable that returns the Unix time, in milliseconds.
        """
        self._clock_ms = clock_ms
        self._admission = Admission()
        self._counters = counters
        self._fleet = fleet
        self._loads = []
        self._overloads = set()
        self._planner = planner
        self._registry = registry
        self._rooms = {}
        self._run_times = run_times
        self._site_watch = site_watch
        self.backlog = Backlog(run_times=run_times)
        # Workflows by queue.
        self.refused = collections.Counter()
        self.submitted = collections.Counter()

    def update(self):
        """Take note of loads and progress; to be called every second."""
        if not self._site_watch.is_ready:
            return
        self._loads = self._fleet.loads(self._site_watch.site)
        self._rooms = finite_rooms(self._loads)
        self.backlog.update(
            [
                record
                for record in self._registry.workflows.values()
                if not record.phase.has_ended
            ],
            rooms=self._rooms,
            now_ms=self._clock_ms(),
        )

        self._log_overloads()

    def _log_overloads(self):
        """Log which priorities of a pool have more work than room."""
        overloads = self._planner.overloads
        for pool, priority in overloads ^ self._overloads:
            is_new = (pool, priority) in overloads
            self._counters.add("overloads", is_new)
            _log.info(
                "overload_began" if is_new else "overload_ended",
                pool=pool,
                priority=priority,
                room_cores=round(self._rooms.get(pool, 0.0) / 1000),
                wait_ms=round(self.backlog.wait_ms(pool, priority) or 0),
            )
        self._overloads = set(overloads)

    def retry_after_s(self, workflow):
        """Return after how many seconds to submit again, 0 to accept now.

        :param workflow: A :class:`radishlanding.workflow.Workflow` that is
            not known yet.
        """
        at_ms = self._clock_ms()
        self.submitted[workflow.queue] += 1
        if workflow.is_standing or workflow.repeats:
            return 0
        if not self.backlog.is_known(at_ms) or not self._loads:
            return 0
        prospect = self._prospect(workflow, at_ms)
        retry_after_s = self._admission.retry_after_s(prospect, now_ms=at_ms)
        if retry_after_s:
            self._record_refusal(workflow, prospect, retry_after_s)
        elif prospect.end_ms > prospect.limit_ms:
            self._counters.add("admission_beyond_limit")
        return retry_after_s

    def _prospect(self, workflow, at_ms):
        record = WorkflowRecord(workflow=workflow)
        millicores = max(
            self.backlog.drained_millicores(workflow.pool, workflow.priority),
            MIN_ROOM_SHARE * self._rooms.get(workflow.pool, 0.0),
        )
        left = work_left(record, self._run_times, room_millicores=millicores)
        return Prospect(
            queue=workflow.queue,
            core_ms=left.core_ms,
            ahead_core_ms=self._planner.work_ahead_core_ms(
                record, millicores=millicores, now_ms=at_ms
            ),
            millicores=millicores,
            path_ms=left.path_ms,
            objective_ms=left.objective_ms,
            spread=left.spread,
            samples=left.samples,
            has_room=has_first_task_room(workflow, self._loads),
        )

    def _record_refusal(self, workflow, prospect, retry_after_s):
        self.refused[workflow.queue] += 1
        self._counters.add("admission_refused")
        self._counters.add("admission_refused_core_s", prospect.core_ms / 1000)
        _log.info(
            "admission_refused",
            workflow=workflow.workflow_id,
            queue=workflow.queue,
            end_ms=round(prospect.end_ms),
            limit_ms=round(prospect.limit_ms),
            wait_ms=round(prospect.wait_ms),
            ahead_core_s=round(prospect.ahead_core_ms / 1000),
            cores=round(prospect.millicores / 1000),
            spread=f"{prospect.spread:.2f}",
            samples=f"{prospect.samples:.1f}",
            retry_after_s=retry_after_s,
        )
