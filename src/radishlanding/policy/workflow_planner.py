"""Assigns the tasks of workflows to VMs."""

import random

from radishlanding.policy.finite_room import finite_rooms
from radishlanding.policy.idle_clock import IdleClock
from radishlanding.policy.placement_budget import PlacementBudget
from radishlanding.policy.placement_wait import PlacementWait
from radishlanding.policy.stalled_workflows import StalledWorkflows
from radishlanding.policy.step_placer import StepPlacer

# Assignments per log entry; a larger entry takes longer to be committed.
MAX_ASSIGNMENTS = 150
# Assignments of one workflow in a round, which may exceed the above. Steps of
# callers have up to 80 tasks, five of them 400; those are placed in one round.
MAX_WORKFLOW_ASSIGNMENTS = 500
# Standing tasks that go before all others in a round. Tasks that fail again
# and again return all the time, and must not take whole rounds.
MAX_RETURNING = 120
# Ready steps of one workflow that may find no VM in a round; each costs a look
# at all VMs. The next round goes on with the steps behind them, so that rounds
# of 0.25 s try all 1,000 steps of the longest workflow within 2.5 s.
MAX_UNPLACED_STEPS = 100
# Rounds come with each commit; the load changes more slowly.
UPDATE_INTERVAL_MS = 250
# An update takes 14 us for each open workflow on a fast processor; this keeps
# it below a twentieth of one that is seven times slower.
UPDATE_INTERVAL_MS_PER_WORKFLOW = 2
# Best-effort tasks wait this long for a VM that suits them while nothing of
# their workflow runs. Callers take a ready workflow for lost after 3 s; round,
# commit, order and start take up to two on a weak entry VM.
MAX_IDLE_MS = 1000


class WorkflowPlanner:
    """Place the ready tasks of workflows, in a configurable order."""

    __slots__ = (
        "_fully_placed",
        "_idle_clock",
        "_order",
        "_next_steps",
        "_rng",
        "_stalled",
        "_step_placer",
        "_updated_ms",
        "_was_cut_short",
    )

    def __init__(
        self, *, order, interference, tickets=None, clock_s=None, rng=None
    ):
        """Prepare a planner.

        :param order: A :class:`WorkflowOrder`.
        :param interference: An :class:`Interference`.
        :param tickets: :class:`TicketCache` for advised workflows, None
            where no advisor is configured.
        :param clock_s: Callable that returns the time in seconds, on the
            clock by which tickets expire.
        :param rng: A :class:`random.Random` that breaks ties between VMs,
            None for a new one.
        """
        self._fully_placed = set()
        self._was_cut_short = False
        self._updated_ms = 0
        self._idle_clock = IdleClock()
        # Position to start from, by workflow, where a round was cut short.
        self._next_steps = {}
        self._order = order
        self._rng = rng or random.Random()
        self._stalled = StalledWorkflows()
        self._step_placer = StepPlacer(
            interference=interference, tickets=tickets, clock_s=clock_s
        )

    @property
    def was_cut_short(self):
        """Return whether the last round left tasks unplaced for its bounds."""
        return self._was_cut_short

    def rank(self, record, *, now_ms):
        """Return the sort key of a workflow; see :class:`WorkflowOrder`."""
        return self._order.key(record, now_ms=now_ms)

    def use_ranks(self, ranks):
        """Place tasks of ranked steps in front of tasks of larger ranks.

        :param ranks: Ranks by the name of a step, see
            :class:`TaskPrecedenceOrder`.
        """
        self._step_placer.ranks = ranks

    def use_stalls(self, stalls, *, now_ms):
        """Take note of workflows whose assigned attempts do not run.

        :param stalls: See :meth:`StalledWorkflows.update`.
        :param now_ms: Unix time, in milliseconds.
        """
        self._stalled.update(stalls, now_ms=now_ms)

    def avoid(self, task_id, vm):
        """Place a moved task elsewhere; see :meth:`StepPlacer.avoid`."""
        self._step_placer.avoid(task_id, vm)

    def prune(self, is_open):
        """Drop what is held of ended tasks; see :meth:`StepPlacer.prune`."""
        self._step_placer.prune(is_open)

    def update(self, records, loads, *, now_ms):
        """Let the order take note of the load, every few rounds.

        :param records: Records of all workflows that have not ended.
        :param loads: Callable that returns the :class:`VmLoad` objects; it is
            called only when due.
        :param now_ms: Unix time, in milliseconds.
        """
        interval_ms = max(
            UPDATE_INTERVAL_MS, UPDATE_INTERVAL_MS_PER_WORKFLOW * len(records)
        )
        if 0 <= now_ms - self._updated_ms < interval_ms:
            return
        self._idle_clock.retain(
            {record.workflow.workflow_id for record in records}
        )
        rooms = finite_rooms(loads())
        if rooms:
            self._updated_ms = now_ms
            self._order.update(records, rooms=rooms, now_ms=now_ms)

    @property
    def overloads(self):
        """Return the overloads; see :class:`WorkflowOrder`."""
        return self._order.overloads

    def explain_rank(self, record):
        """Return what ranks a workflow; see :class:`WorkflowOrder`."""
        return self._order.explain(record)

    def work_ahead_core_ms(self, record, *, millicores, now_ms):
        """Return the work before a workflow; see :class:`WorkflowOrder`."""
        return self._order.work_ahead_core_ms(
            record, millicores=millicores, now_ms=now_ms
        )

    def is_fully_placed(self, record):
        """Return whether no ready task of a workflow waits for a VM.

        This holds until one of its tasks ends; see :meth:`mark_changed`.
        """
        return record.workflow.workflow_id in self._fully_placed

    def mark_changed(self, workflow_ids):
        """Reconsider workflows that were accepted or had tasks end.

        :param workflow_ids: Their identities.
        """
        self._fully_placed.difference_update(workflow_ids)

    def mark_ran(self, workflow_ids, *, now_ms):
        """Let the next wait of workflows begin now; see :class:`IdleClock`.

        :param workflow_ids: Identities of those of which attempts that have
            run ended.
        :param now_ms: Unix time, in milliseconds.
        """
        self._idle_clock.restart(workflow_ids, now_ms=now_ms)

    def plan(self, records, loads, *, now_ms, max_bytes=None):
        """Return assignments of ready tasks.

        Standing tasks that have lost their VM go first, whatever the priority
        of their queue: after a loss of power a backlog of finite
        work of a better queue would take all rounds, links and VMs for
        seconds. Workflows that the last round passed over get one task next,
        then all others go in order.

        :param records: Records of workflows that have not ended; those that
            are fully placed may be left out.
        :param loads: :class:`VmLoad` objects, which are shuffled and updated
            as tasks are placed.
        :param now_ms: Unix time, in milliseconds.
        :param max_bytes: Size of the start orders that may be sent now, None
            for no limit. One task is placed even if its order is larger, and
            a gang as a whole.
        :returns: :class:`radishlanding.workflow.Assignment` objects.
        """
        self._rng.shuffle(loads)
        self._step_placer.begin_round()
        self._idle_clock.update(records, now_ms=now_ms)
        self._next_steps = {
            record.workflow.workflow_id: position
            for record in records
            if (position := self._next_step(record)) is not None
        }
        budget = PlacementBudget(
            max_tasks=MAX_ASSIGNMENTS, max_bytes=max_bytes
        )
        ranked = sorted(records, key=lambda rec: self.rank(rec, now_ms=now_ms))
        # A record shows what is placed only after the round, so that each
        # workflow has one turn.
        served = self._place_returning(ranked, loads, now_ms, budget)
        starved = [
            record
            for record in self._passed_over(records, now_ms)
            if record.workflow.workflow_id not in served
        ]
        served.update(rec.workflow.workflow_id for rec in starved)
        others = [
            record
            for record in ranked
            if record.workflow.workflow_id not in served
        ]
        for records_in_turn, max_tasks in (
            (starved, 1),
            (others, MAX_WORKFLOW_ASSIGNMENTS),
        ):
            for record in records_in_turn:
                if budget.is_spent:
                    break
                orders = budget.orders(record, max_tasks=max_tasks)
                budget.take(record, self._place(record, loads, now_ms, orders))
        self._was_cut_short = budget.is_spent
        return budget.assignments

    def _place_returning(self, ranked, loads, now_ms, budget):
        """Place the standing tasks that have lost their VM.

        :returns: Identities of the workflows that had their turn.
        """
        served = set()
        for record in ranked:
            left = MAX_RETURNING - len(budget.assignments)
            if left <= 0 or budget.is_spent:
                break
            count = min(left, record.returning_count)
            if count:
                served.add(record.workflow.workflow_id)
                orders = budget.orders(record, max_tasks=count)
                budget.take(record, self._place(record, loads, now_ms, orders))
        return served

    def _passed_over(self, records, now_ms):
        """Return the workflows that get one task before all others.

        They are starved, the longest wait first, if the last round had to be
        cut short. Otherwise those that rank last would wait for as long as
        others take all that can be placed in a round.
        """
        if not self._was_cut_short:
            return []
        starved = [
            record
            for record in records
            if not record.workflow.is_standing
            and self._is_starved(record, now_ms)
        ]
        return sorted(
            starved, key=lambda rec: -self.idle_ms(rec, now_ms=now_ms)
        )

    def _place(self, record, loads, now_ms, orders):
        workflow = record.workflow
        vms = [vm for vm in loads if vm.pool == workflow.pool]
        avoided_vms = self._stalled.avoided_vms(workflow.workflow_id)
        is_starved = self._is_starved(record, now_ms)
        assignments, has_placed_all, unplaced = [], True, 0
        for position in self._waiting_steps(record, now_ms):
            if orders.is_spent or unplaced == MAX_UNPLACED_STEPS:
                has_placed_all = False
                if unplaced == MAX_UNPLACED_STEPS:
                    self._next_steps[workflow.workflow_id] = position
                break
            placed = self._step_placer.place(
                record,
                position,
                vms,
                is_starved=is_starved,
                avoided_vms=avoided_vms,
                orders=orders,
                now_ms=now_ms,
            )
            assignments += placed
            has_placed_all &= len(placed) == record.pending_count(*position)
            unplaced += not placed
        if assignments:
            self._stalled.record_placed(workflow.workflow_id, now_ms=now_ms)
        if has_placed_all and not workflow.repeats:
            self._fully_placed.add(workflow.workflow_id)
        if has_placed_all and not assignments:
            self._idle_clock.clear(workflow.workflow_id)
        elif has_placed_all or (assignments and not workflow.is_standing):
            self._idle_clock.stop(workflow.workflow_id)
        return assignments

    def _next_step(self, record):
        return self._next_steps.get(record.workflow.workflow_id)

    def _waiting_steps(self, record, now_ms):
        """Yield the waiting steps, those that the last round tried last."""
        first = self._next_steps.pop(record.workflow.workflow_id, (0, 0))
        tried = []
        for position in _waiting_steps(record, now_ms):
            if position < first:
                tried.append(position)
            else:
                yield position
        yield from tried

    def idle_ms(self, record, *, now_ms):
        """Return how long a workflow has waited; see :class:`IdleClock`."""
        return self._idle_clock.idle_ms(
            record.workflow.workflow_id, now_ms=now_ms
        )

    def explain(self, record, loads, *, now_ms):
        """Return why the first ready step of a workflow waits.

        :param record: Record of a workflow.
        :param loads: :class:`VmLoad` objects, which are left unchanged.
        :param now_ms: Unix time, in milliseconds.
        :returns: A :class:`PlacementWait`, None if no task is ready.
        """
        workflow = record.workflow
        self._step_placer.begin_round()
        position = next(_waiting_steps(record, now_ms), None)
        if position is None:
            return None
        vms = [vm for vm in loads if vm.pool == workflow.pool]
        refusals = self._step_placer.refusals(
            record,
            position,
            vms,
            is_starved=self._is_starved(record, now_ms),
            avoided_vms=self._stalled.avoided_vms(workflow.workflow_id),
        )
        admitting = refusals.pop(None, 0)
        return PlacementWait(
            workflow_id=workflow.workflow_id,
            step=f"{position[0]}.{position[1]}",
            tasks=record.pending_count(*position),
            idle_ms=self.idle_ms(record, now_ms=now_ms),
            vms=admitting,
            refusals=dict(refusals),
        )

    def _is_starved(self, record, now_ms):
        """Return whether nothing of a workflow has run for too long."""
        return self.idle_ms(
            record, now_ms=now_ms
        ) > MAX_IDLE_MS or self._stalled.is_stalled(
            record.workflow.workflow_id, now_ms=now_ms
        )


def _waiting_steps(record, now_ms):
    """Yield the positions of ready steps with tasks to place, in order."""
    for position in record.ready_steps(now_ms):
        if record.pending_count(*position):
            yield position
