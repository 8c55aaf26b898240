"""Ranks the best-effort tasks of the site for its agents."""

import math

from radishlanding.dispatch.wall_clock import now_ms
from radishlanding.message import TaskPrecedence
from radishlanding.observe import EventLog
from radishlanding.policy import CLASS_PARTS
from radishlanding.policy import step_name
from radishlanding.policy import TaskPrecedenceOrder
from radishlanding.workflow import TaskId

_log = EventLog("radishlanding.dispatch")


class TaskRanker:
    """Hold the ranks of the best-effort tasks that run on any VM.

    Ranks are computed once per interval, not for each report: a site has up
    to hundreds of VMs that report about twice a second. They are kept by
    step, so that a report costs a look-up for each task.
    """

    __slots__ = (
        "_counters",
        "_first",
        "_fleet",
        "_order",
        "_planner",
        "_ranks",
        "_registry",
    )

    def __init__(self, *, registry, fleet, planner, run_times, counters):
        """Initialise the ranker without ranks.

        :param registry: The :class:`radishlanding.workflow.WorkflowRegistry`.
        :param fleet: The :class:`Fleet`.
        :param planner: Planner that ranks workflows by urgency.
        :param run_times: A :class:`radishlanding.policy.RunTimes`.
        :param counters: Metrics counters of the process.
        """
        self._counters = counters
        self._first = ""
        self._fleet = fleet
        self._order = TaskPrecedenceOrder(run_times=run_times)
        self._planner = planner
        self._ranks = {}
        self._registry = registry

    def rank(self):
        """Rank all best-effort tasks; to be called every second."""
        at_ms = now_ms()
        overtakes = self._order.overtakes
        self._ranks = self._order.rank(
            self._running_tasks(),
            class_of=lambda record: self._planner.rank(record, now_ms=at_ms)[
                :CLASS_PARTS
            ],
        )
        self._planner.use_ranks(self._ranks)
        self._counters.add("precedence_rounds")
        self._counters.add(
            "precedence_overtakes", self._order.overtakes - overtakes
        )
        first = next(iter(self._ranks), "")
        if first != self._first:
            _log.info(
                "precedence_changed",
                first=first or "none",
                before=self._first or "none",
                steps=len(self._ranks),
            )
            self._first = first

    def _running_tasks(self):
        """Return record, identity and progress of best-effort tasks."""
        found = []
        for session in self._fleet.sessions.values():
            for item in session.running.values():
                if not self._fleet.is_wanted(session, item):
                    continue
                record, _ = self._registry.find(item.task_id)
                parsed_id = TaskId.parse(item.task_id)
                if record.workflow.steps[parsed_id.step].fills:
                    found.append((record, parsed_id, item.progress))
        return found

    def rank_of(self, task_id):
        """Return the rank of a task, infinite for none."""
        return self._ranks.get(step_name(task_id), math.inf)

    def precedence(self, session):
        """Return the ranks of the best-effort tasks on a VM.

        They include tasks that are assigned to it and not reported yet. A
        task of a step that was not ranked yet has none.

        :param session: :class:`VmSession` of the VM.
        :returns: :class:`radishlanding.message.TaskPrecedence` objects.
        """
        ranks = self._ranks
        return [
            TaskPrecedence(task_id=task.task_id, rank=rank)
            for task in self._registry.tasks_on(session.vm)
            if (rank := ranks.get(step_name(task.task_id))) is not None
        ]
