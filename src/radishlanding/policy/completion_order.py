"""Order of workflows that completes as many as capacity allows."""

import collections
import functools
import math

from radishlanding.policy.ageing import Ageing
from radishlanding.policy.assigned_work import AssignedWork
from radishlanding.policy.open_workflow import OpenWorkflow
from radishlanding.policy.pace_share import PaceShare
from radishlanding.policy.remaining_work import total_core_ms
from radishlanding.policy.remaining_work_cache import RemainingWorkCache
from radishlanding.policy.selection import select
from radishlanding.policy.size_history import SizeHistory
from radishlanding.policy.tier import Tier
from radishlanding.policy.tier import tier_by_age
from radishlanding.workflow import WorkflowPhase

# There is an overload if the workflows that could end in time need more than
# this share of the room: the rest ends unused between steps.
FULL_SHARE = 0.5
# Share of the room that is planned for in an overload. The rest is left to
# workflows that arrive later; with more, those in the set end late, too.
PLANNED_SHARE = 0.1
# Overload counts as over once everything has fitted for this long, so that
# ranks do not flip with each arrival.
CALM_MS = 3000
# Part of a workflow's worth that does not depend on its size.
BASE_WORTH = 0.3
# Hysteresis: what has begun or was selected before keeps its place against
# work of up to this multiple of its worth per core-second.
BEGUN_FACTOR = 1.5
SELECTED_FACTOR = 1.2
# Precedence of size classes that have been served too rarely.
OWED_FACTOR = 3.0


class CompletionOrder:
    """Order workflows so that those which can still end in time do.

    As long as the capacity suffices, this is :class:`EarliestDeadline`.
    Beyond it, a set of workflows goes first that can end in time together,
    chosen by worth per remaining work. Then come those that can end late but
    before they are worth nothing, then the others, then expired ones. Within
    a set the greatest worth per remaining work goes first: by deadline, all
    of them would be late as soon as one estimate is too low.
    """

    __slots__ = (
        "_ageing",
        "_histories",
        "_open",
        "_overloaded_ms",
        "_paces",
        "_run_times",
        "_work",
    )

    def __init__(self, *, run_times):
        """Start without workflows.

        :param run_times: A :class:`RunTimes`.
        """
        self._ageing = Ageing()
        self._histories = collections.defaultdict(SizeHistory)
        self._open = {}
        # Time of the last overload by pool and priority.
        self._overloaded_ms = {}
        # By pool and priority.
        self._paces = collections.defaultdict(PaceShare)
        self._run_times = run_times
        self._work = RemainingWorkCache(run_times=run_times)

    def update(self, records, *, rooms, now_ms):
        """Select workflows; see :class:`WorkflowOrder`."""
        finite = [rec for rec in records if _is_selectable(rec.workflow)]
        done = collections.Counter()
        open_ids = {rec.workflow.workflow_id for rec in finite}
        self._drop_ended(open_ids, done)
        self._work.retain(open_ids)
        groups = collections.defaultdict(list)
        for record in finite:
            workflow = record.workflow
            group = workflow.pool, workflow.priority
            item, done_core_ms = self._refresh(
                record, rooms.get(workflow.pool, 0.0), now_ms
            )
            groups[group].append(item)
            done[group] += done_core_ms
            self._record_lateness(item, now_ms)
        for group in self._overloaded_ms.keys() - groups.keys():
            del self._overloaded_ms[group]
        for group in self._paces.keys() | groups.keys():
            self._observe_pace(group, groups[group], done[group], now_ms)
        used = collections.Counter()
        for pool, priority in sorted(groups):
            items = groups[pool, priority]
            room = rooms.get(pool, 0.0)
            room *= self._paces[pool, priority].share(now_ms)
            self._select((pool, priority), items, room, now_ms, used)
            used[pool] += sum(item.core_ms for item in items)

    def key(self, record, *, now_ms):
        """Return a sort key; smaller keys are placed first."""
        workflow = record.workflow
        item = self._open.get(workflow.workflow_id)
        if item is not None and item.tier is not None:
            tier, rank, due_ms = item.tier, item.rank, item.due_ms
        else:
            start_ms = record.objective_start_ms(now_ms)
            objective_ms = workflow.objective_ms()
            if item is not None:
                objective_ms = item.objective_ms
            tier, rank = tier_by_age(now_ms - start_ms, objective_ms), 0.0
            due_ms = start_ms + objective_ms
        return (
            workflow.priority,
            not workflow.is_standing,
            tier,
            rank,
            due_ms,
            workflow.workflow_id,
        )

    @property
    def overloads(self):
        """Return the overloads; see :class:`WorkflowOrder`."""
        return set(self._overloaded_ms)

    def explain(self, record):
        """Return what ranks a workflow in an overload."""
        item = self._open.get(record.workflow.workflow_id)
        if item is None or item.tier is None:
            return {}
        return {
            "tier": item.tier.name.lower(),
            "density": f"{item.density:.2f}",
            "left_core_s": f"{item.core_ms / 1000:.0f}",
            "left_path_ms": f"{item.path_ms:.0f}",
            "objective_ms": f"{item.objective_ms:.0f}",
        }

    def work_ahead_core_ms(self, record, *, millicores, now_ms):
        """Return the work that would go before a new workflow.

        That is all work of higher priorities and, of its own, that of
        workflows which are worth more per remaining work, unless they expire
        before it would be done.
        """
        workflow = record.workflow
        # Nothing of it is done yet.
        own_core_ms = total_core_ms(workflow, self._run_times)
        history = self._histories[workflow.queue]
        item = OpenWorkflow(record=record)
        item.size_class = history.size_class(own_core_ms)
        item.core_ms = item.total_core_ms = own_core_ms
        density = self._density(item, history)
        others = [
            other
            for other in self._open.values()
            if other.record.workflow.pool == workflow.pool
            and not other.record.phase.has_ended
        ]
        core_ms = sum(
            other.core_ms
            for other in others
            if other.record.workflow.priority < workflow.priority
        )
        denser = [
            other
            for other in others
            if other.record.workflow.priority == workflow.priority
            and other.density > density
        ]
        rate = max(millicores, 1.0) / 1000
        for other in sorted(denser, key=lambda other: -other.density):
            if now_ms + (core_ms + other.core_ms) / rate <= _expiry_ms(other):
                core_ms += other.core_ms
        return core_ms

    def _refresh(self, record, room_millicores, now_ms):
        """Bring the :class:`OpenWorkflow` of a record up to date.

        :returns: A pair of it and the work done, in core-milliseconds.
        """
        workflow = record.workflow
        left = self._work.left(
            record, room_millicores=room_millicores, now_ms=now_ms
        )
        item = self._open.get(workflow.workflow_id)
        history = self._histories[workflow.queue]
        if item is None:
            history.add(left.total_core_ms)
            item = OpenWorkflow(record=record)
            self._open[workflow.workflow_id] = item
        done_core_ms = item.apply(left)
        item.size_class = history.size_class(left.total_core_ms)
        item.density = self._density(item, history)
        return item, done_core_ms

    def _density(self, item, history):
        """Return the worth per remaining work; 1 is the queue's mean."""
        mean_core_ms = max(history.mean_core_ms, 1.0)
        worth = BASE_WORTH
        worth += (1 - BASE_WORTH) * item.total_core_ms / mean_core_ms
        density = worth * mean_core_ms / max(item.core_ms, 1.0)
        if item.is_begun:
            density *= BEGUN_FACTOR
        if item.tier == Tier.ON_TIME:
            density *= SELECTED_FACTOR
        if history.is_owed(item.size_class):
            density *= OWED_FACTOR
        return density

    def _select(self, group, items, room_millicores, now_ms, used):
        """Set tier and rank of the workflows of one pool and priority."""
        aged = self._ageing.choose(items, now_ms=now_ms)
        live = [item for item in items if not item.is_expired]
        used_core_ms = used[group[0]]
        run = functools.partial(select, now_ms=now_ms)
        _, others = run(
            live,
            room_millicores=FULL_SHARE * room_millicores,
            limit_ms=_due_ms,
            used_core_ms=used_core_ms,
        )
        # Late workflows prolong an overload and do not begin one.
        is_known = group in self._overloaded_ms
        if any(
            is_known or now_ms + item.path_ms <= _due_ms(item)
            for item in others
        ):
            self._overloaded_ms[group] = now_ms
        # A clock that was set back ends an overload, too.
        since_ms = now_ms - self._overloaded_ms.get(group, -CALM_MS)
        if not 0 <= since_ms < CALM_MS:
            self._overloaded_ms.pop(group, None)
            for item in items:
                item.tier = None
            return
        planned = PLANNED_SHARE * room_millicores
        on_time, others = run(
            live,
            room_millicores=planned,
            limit_ms=_due_ms,
            used_core_ms=used_core_ms,
        )
        used_core_ms += sum(item.core_ms for item in on_time)
        late, _ = run(
            others,
            room_millicores=planned,
            limit_ms=_expiry_ms,
            used_core_ms=used_core_ms,
        )
        for item in items:
            if item in aged:
                item.tier, item.rank = Tier.ON_TIME, -math.inf
            elif item.is_expired:
                item.tier, item.rank = Tier.EXPIRED, 0.0
            else:
                item.tier = Tier.UNSELECTED
                if item in on_time:
                    item.tier = Tier.ON_TIME
                elif item in late:
                    item.tier = Tier.LATE
                item.rank_by_density()

    def _record_lateness(self, item, now_ms):
        """Count a workflow as not served in time once it is late."""
        item.is_expired = now_ms > item.expiry_ms
        if now_ms > item.due_ms and not item.is_late:
            item.is_late = True
            self._history(item).record_end(item.size_class, is_in_time=False)

    def _observe_pace(self, group, items, done_core_ms, now_ms):
        self._paces[group].observe(
            done_core_ms,
            count_assigned=lambda: self._assigned_work(items),
            now_ms=now_ms,
        )

    def _assigned_work(self, items):
        total = AssignedWork()
        for item in items:
            work = item.assigned_work(self._run_times)
            total.add(work.millicores, work.mean_run_ms)
        return total

    def _drop_ended(self, open_ids, done):
        """Drop ended workflows, and add up what was left to do of them.

        :param done: Work done by pool and priority, in core-milliseconds.
        """
        for workflow_id in self._open.keys() - open_ids:
            item = self._open.pop(workflow_id)
            if item.record.phase == WorkflowPhase.COMPLETED:
                workflow = item.record.workflow
                done[workflow.pool, workflow.priority] += item.core_ms
            if item.is_late or item.record.phase != WorkflowPhase.COMPLETED:
                continue
            self._history(item).record_end(
                item.size_class,
                is_in_time=item.record.ended_ms <= item.due_ms,
            )

    def _history(self, item):
        return self._histories[item.record.workflow.queue]


def _is_selectable(workflow):
    """Return whether a workflow has one objective of its own."""
    return not workflow.is_standing and not workflow.repeats


def _due_ms(item):
    return item.due_ms + item.tolerance_ms


def _expiry_ms(item):
    return item.expiry_ms + item.tolerance_ms
