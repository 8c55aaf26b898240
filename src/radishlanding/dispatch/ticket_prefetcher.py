"""Asks the advisor about the steps of queues that want advice."""

import trio

from radishlanding.dispatch.wall_clock import now_ms
from radishlanding.observe import EventLog
from radishlanding.vm import boot_clock_s
from radishlanding.worker import AdvisorUnavailable

# The platform's bound on the workers of one call.
MAX_WORKERS_PER_CALL = 100
# New steps wake the desk; this is for VMs that come and tickets that end.
POLL_INTERVAL_S = 0.25
# The advisor queues 32 calls a VM at most; one that refuses is asked later.
RETRY_DELAY_S = 0.5

_log = EventLog("radishlanding.dispatch")


class TicketPrefetcher:
    """Get tickets ahead of need, one call at a time, the most urgent first.

    An advisor handles the calls of one process in turn, so more calls at
    once would only wait there.
    """

    __slots__ = (
        "_advisor",
        "_fleet",
        "_planner",
        "_registry",
        "_site_watch",
        "_tickets",
        "_wake",
    )

    def __init__(
        self, *, advisor, registry, fleet, tickets, planner, site_watch, wake
    ):
        """Prepare; :meth:`run` asks.

        :param advisor: A :class:`radishlanding.worker.Advisor`.
        :param registry: The :class:`radishlanding.workflow.WorkflowRegistry`.
        :param fleet: The :class:`Fleet`.
        :param tickets: The :class:`radishlanding.policy.TicketCache` to fill.
        :param planner: Ranks workflows.
        :param site_watch: A :class:`SiteWatch`.
        :param wake: Callable that makes the leader place tasks.
        """
        self._advisor = advisor
        self._registry = registry
        self._fleet = fleet
        self._tickets = tickets
        self._planner = planner
        self._site_watch = site_watch
        self._wake = wake

    async def run(self):
        """Ask until cancelled."""
        while True:
            query = self._next_query()
            if query is None:
                await trio.sleep(POLL_INTERVAL_S)
            elif not await self._fetch(*query):
                await trio.sleep(RETRY_DELAY_S)

    def _next_query(self):
        """Return the next step, its boots and its queue's times, or None."""
        at_ms = now_ms()
        records = [
            record
            for record in self._registry.workflows.values()
            if record.workflow.is_advised
            and record.shown
            and not record.phase.has_ended
        ]
        records.sort(key=lambda rec: self._planner.rank(rec, now_ms=at_ms))
        self._tickets.retain(
            {step for record in records for step, _ in _open_steps(record)}
        )
        loads = self._fleet.loads(self._site_watch.site)
        for record in records:
            queue = self._site_watch.site.queues.get(record.workflow.queue)
            if queue is None or queue.advice is None:
                continue
            for name, step in _open_steps(record):
                boots = self._tickets.unasked_boots(
                    name,
                    [
                        load.boot
                        for load in loads
                        if load.pool == record.workflow.pool
                        and (not step.label or step.label in load.labels)
                    ],
                    now_s=boot_clock_s(),
                )
                if boots:
                    return name, boots[:MAX_WORKERS_PER_CALL], queue.advice
        return None

    async def _fetch(self, name, boots, advice):
        by_id = {boot.partition("/")[0]: boot for boot in boots}
        sent_s = boot_clock_s()
        try:
            granted = await self._advisor.advise(
                ".".join(str(part) for part in name), sorted(by_id)
            )
        except AdvisorUnavailable as exc:
            _log.warning("advice_unanswered", step=name, reason=exc)
            return False
        _log.info(
            "advised",
            step=".".join(str(part) for part in name),
            asked=len(by_id),
            permitted=len(granted),
            took_ms=int((boot_clock_s() - sent_s) * 1000),
        )
        self._tickets.add(
            name,
            boots,
            {by_id[key]: ticket for key, ticket in granted.items()},
            until_s=sent_s + advice.valid_ms / 1000,
        )
        self._wake()
        return True


def _open_steps(record):
    """Return the names and steps of which tasks may still start.

    Those that wait for earlier steps are asked about ahead.
    """
    workflow = record.workflow
    return [
        ((workflow.workflow_id, occurrence, number), step)
        for occurrence in range(workflow.occurrences)
        for number, step in enumerate(workflow.steps)
        if not record.is_step_done(occurrence, number)
    ]
