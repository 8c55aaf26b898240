"""Fetches advisor tickets for the steps of advised workflows."""

import trio

from radishlanding.config import AdvisorTiming
from radishlanding.dispatch.wall_clock import now_ms
from radishlanding.observe import EventLog
from radishlanding.policy import AdviceSchedule
from radishlanding.policy import AdvisedStep
from radishlanding.policy import MAX_ANSWER_SHARE
from radishlanding.vm import boot_clock_s
from radishlanding.worker import AdvisorUnavailable

# Added to the time that the advisor takes.
CALL_TIMEOUT_S = 10.0
# Bounds how late new steps, new VMs and expired tickets are noticed.
POLL_INTERVAL_S = 0.25
# The advisor queues at most 32 calls per VM and rejects more; back off.
RETRY_DELAY_S = 0.5

# Of a queue whose configuration this process has never seen.
DEFAULT_TIMING = AdvisorTiming(valid_ms=3000)

_log = EventLog("radishlanding.dispatch")


class TicketPrefetcher:
    """Fetch tickets before they are needed, for the most urgent steps first.

    Calls are sequential: the advisor handles the calls of one process in
    turn, so that concurrent ones would only queue there.
    """

    __slots__ = (
        "_advisor",
        "_counters",
        "_fleet",
        "_planner",
        "_registry",
        "_schedule",
        "_site_watch",
        "_tickets",
        "_timings",
        "_wake",
    )

    def __init__(
        self,
        *,
        advisor,
        registry,
        fleet,
        tickets,
        planner,
        site_watch,
        counters,
        wake,
    ):
        """Initialise the prefetcher; :meth:`run` sends the calls.

        :param advisor: A :class:`radishlanding.worker.Advisor`.
        :param registry: The :class:`radishlanding.workflow.WorkflowRegistry`.
        :param fleet: The :class:`Fleet`.
        :param tickets: The :class:`radishlanding.policy.TicketCache` to fill.
        :param planner: Planner that ranks workflows by urgency.
        :param site_watch: A :class:`SiteWatch`.
        :param counters: Metrics counters of the process.
        :param wake: Callable that triggers placement.
        """
        self._advisor = advisor
        self._counters = counters
        self._registry = registry
        self._fleet = fleet
        self._tickets = tickets
        self._schedule = AdviceSchedule(tickets=tickets)
        # Last known timings by queue.
        self._timings = {}
        self._planner = planner
        self._site_watch = site_watch
        self._wake = wake

    async def run(self):
        """Fetch tickets until cancelled."""
        while True:
            query = self._next_query()
            if query is None:
                await trio.sleep(POLL_INTERVAL_S)
            elif not await self._fetch(query):
                await trio.sleep(RETRY_DELAY_S)

    def _next_query(self):
        """Return the next :class:`radishlanding.policy.AdviceQuery`, or None.

        Steps without waiting tasks are included, so that their tickets are
        there when they become due or a task has to run again.
        """
        at_ms = now_ms()
        records = [
            record
            for record in self._registry.workflows.values()
            if record.shown
            and not record.phase.has_ended
            and self._is_advised(record.workflow)
        ]
        records.sort(key=lambda rec: self._planner.rank(rec, now_ms=at_ms))
        loads = []
        if records:
            site = self._site_watch.site
            loads = self._fleet.loads(site, with_stuck=True)
        steps = [
            self._advised_step(record, position, step, loads, at_ms)
            for record in records
            for position, step in _open_steps(record)
        ]
        identities = {item.step for item in steps}
        self._tickets.retain(identities)
        self._schedule.retain(identities)
        return self._schedule.choose(steps, now_s=boot_clock_s())

    def _is_advised(self, workflow):
        """Return whether a workflow needs tickets now.

        The configuration may have changed since it was accepted. Without its
        queue there, it needs what it needed last.
        """
        queue = self._site_watch.site.queues.get(workflow.queue)
        if queue is not None:
            workflow.is_advised = queue.advisor_timing is not None
        return workflow.is_advised

    def _advised_step(self, record, position, step, loads, at_ms):
        workflow = record.workflow
        occurrence, number = position
        boots = [
            load.boot
            for load in loads
            if load.pool == workflow.pool
            and (not step.label or step.label in load.labels)
        ]
        return AdvisedStep(
            step=(workflow.workflow_id, *position),
            boots=boots,
            timing=self._timing(workflow.queue),
            is_waiting=(
                not self._planner.is_fully_placed(record)
                and workflow.due_ms(occurrence) <= at_ms
                and record.is_step_ready(occurrence, number)
            ),
        )

    def _timing(self, queue_name):
        """Return the advisor's timing for a queue.

        Accepted workflows of a queue that the configuration has dropped since
        still need tickets; the last known timing is used for them.
        """
        queue = self._site_watch.site.queues.get(queue_name)
        if queue is not None and queue.advisor_timing is not None:
            self._timings[queue_name] = queue.advisor_timing
        return self._timings.get(queue_name, DEFAULT_TIMING)

    async def _fetch(self, query):
        by_id = {boot.partition("/")[0]: boot for boot in query.boots}
        name = ".".join(str(part) for part in query.step)
        sent_s = boot_clock_s()
        try:
            granted = await self._advisor.advise(
                name,
                sorted(by_id),
                timeout_s=CALL_TIMEOUT_S + 2 * query.expected_s,
            )
        except AdvisorUnavailable as exc:
            self._schedule.record_failure(query.step)
            self._counters.add("advice_unanswered")
            _log.warning("advice_unanswered", step=name, reason=exc)
            return False
        self._schedule.record_answer(query.step)
        answered_s = boot_clock_s()
        valid_s = query.timing.valid_ms / 1000
        # It is not known when during the call the tickets became valid.
        issued_s = max(sent_s, answered_s - MAX_ANSWER_SHARE * valid_s)
        expired = self._tickets.count_known(query.step, query.boots)
        self._counters.add("tickets_issued", len(granted))
        self._counters.add("tickets_expired", expired)
        _log.info(
            "advised",
            step=name,
            asked=len(by_id),
            permitted=len(granted),
            expired=expired,
            took_ms=int((answered_s - sent_s) * 1000),
            valid_ms=query.timing.valid_ms,
        )
        self._tickets.add(
            query.step,
            query.boots,
            {by_id[key]: ticket for key, ticket in granted.items()},
            issued_s=issued_s,
            valid_s=valid_s,
        )
        self._wake()
        return True


def _open_steps(record):
    """Return pairs of position and step of each unfinished step."""
    workflow = record.workflow
    return [
        ((occurrence, number), step)
        for occurrence in range(workflow.occurrences)
        for number, step in enumerate(workflow.steps)
        if not record.is_step_done(occurrence, number)
    ]
