"""Steps about the order of workflows in an overload."""

import random

from behave import given
from behave import then
from behave import when

from radishlanding.policy import CallerEstimates
from radishlanding.policy import CLASS_PARTS
from radishlanding.policy import CompletionOrder
from radishlanding.policy import EarliestDeadline
from radishlanding.policy import TaskPrecedenceOrder
from radishlanding.policy.assigned_work import AssignedWork
from radishlanding.policy.pace_share import PaceShare
from radishlanding.vm import Capacity
from radishlanding.workflow import Step
from radishlanding.workflow import TaskId
from radishlanding.workflow import WorkflowPhase
from radishlanding.workflow import WorkflowRecord
from tests.policy import overload_play
from tests.workflow.workflow_steps import make_workflow

NOW_MS = 1_000_000
POOL = "order-desk"
SEEDS = 6


def _order():
    return CompletionOrder(run_times=CallerEstimates())


def _update(context, room_millicores, now_ms=NOW_MS):
    context.order.update(
        [rec for rec in context.records if not rec.phase.has_ended],
        rooms={POOL: room_millicores},
        now_ms=now_ms,
    )


def _ranked(context, order, now_ms=NOW_MS):
    open_records = [rec for rec in context.records if not rec.phase.has_ended]
    open_records.sort(key=lambda rec: order.key(rec, now_ms=now_ms))
    return [rec.workflow.workflow_id for rec in open_records]


@given("200 open workflows of random sizes and ages")
def _random(context):
    rng = random.Random(1)
    context.order = _order()
    context.records = [
        overload_play.Job(rng, number, NOW_MS - rng.uniform(0, 90_000)).record
        for number in range(200)
    ]


@when("there is room for all of them")
def _ample(context):
    _update(context, 10**9)


@then("they are ranked as by deadline")
def _as_by_deadline(context, now_ms=NOW_MS):
    found = _ranked(context, context.order, now_ms)
    assert found == _ranked(context, EarliestDeadline(), now_ms)


def _play(load, make_order):
    jobs = []
    for seed in range(SEEDS):
        played = overload_play.Play(make_order(), seed=seed)
        jobs.append(played.run(overload_play.arrivals(seed, load)))
    return jobs


@when(
    "queues at {load:g} times their capacity are played with estimates off "
    "by nine tenths"
)
def _played(context, load):
    context.played = _play(load, _order)
    context.baseline = _play(load, EarliestDeadline)


def _share(plays, first=0.0, last=1.0):
    """Return the share in time of the jobs between two shares by size."""
    outcomes = []
    for jobs in plays:
        by_size = sorted(jobs, key=lambda job: job.core_ms)
        part = by_size[int(first * len(jobs)) : int(last * len(jobs))]
        outcomes += [job.outcome == "in time" for job in part]
    return sum(outcomes) / len(outcomes)


@then("at least {more:g} of the workflows more end in time than by deadline")
def _more_in_time(context, more):
    found, baseline = _share(context.played), _share(context.baseline)
    assert found >= baseline + more, (found, baseline)


@then(
    "callers get at least {gain:g} of the worth of all more than by deadline"
)
def _worth(context, gain):
    found, baseline = (
        sum(map(overload_play.worth, plays)) / SEEDS
        for plays in (context.played, context.baseline)
    )
    assert found >= baseline + gain, (found, baseline)


@then("no more workflows are begun and not done than by deadline")
def _unfinished(context):
    found, baseline = (
        sum(
            any(job.started) and not job.record.phase.has_ended
            for jobs in plays
            for job in jobs
        )
        for plays in (context.played, context.baseline)
    )
    assert found <= baseline, (found, baseline)


@then(
    "the largest tenth and the fifth below it get at least {share:g} of their "
    "queue's share"
)
def _sizes(context, share):
    rate = _share(context.played)
    for first, last in ((0.9, 1.0), (0.7, 0.9)):
        found = _share(context.played, first, last)
        assert found >= share * rate, (first, found, rate)


@given("workflows whose work exceeds the room")
def _overload(context):
    context.order = _order()
    context.records = [
        _record(f"{number:016x}", count=10 + number) for number in range(20)
    ]
    context.room = 20_000
    _update(context, context.room)
    assert _ranked(context, context.order) != _ranked(
        context, EarliestDeadline()
    )


def _record(name, count=10, age_ms=0, **fields):
    step = Step(
        count=count,
        needs=Capacity(millicores=1000, memory_mb=100),
        estimated_ms=fields.pop("run_ms", 4000 + 10 * count),
        standing=fields.pop("standing", False),
    )
    workflow = make_workflow(
        [step],
        name=name,
        stretch=2.0,
        latency_ms=fields.pop("latency_ms", 3000 - 25 * count),
        accepted_ms=NOW_MS - age_ms,
        **fields,
    )
    return WorkflowRecord(workflow=workflow)


@when("some of them are done and the rest fits")
def _some_done(context):
    for record in context.records[2:]:
        record.phase = WorkflowPhase.COMPLETED
        record.ended_ms = NOW_MS
    context.records += [_record("a" * 16, count=5), _record("b" * 16, count=9)]
    _update(context, 10**9, NOW_MS + 1000)
    _update(context, 10**9, NOW_MS + 4000)


@then("they are ranked as by deadline after 3 s")
def _calm(context):
    _as_by_deadline(context, NOW_MS + 4000)


@when("one of them has begun")
def _begun(context):
    context.begun = context.records[10]
    context.begun.phase = WorkflowPhase.RUNNING
    _update(context, context.room)


@then("it goes before those that are of half its worth per work more")
def _keeps(context):
    ranked = _ranked(context, context.order)
    begun = ranked.index(context.begun.workflow.workflow_id)
    smaller = context.records[5].workflow.workflow_id
    assert begun < ranked.index(smaller), ranked


@given("a standing workflow and one of a higher priority")
def _others(context):
    context.records += [
        _record("b" * 16, standing=True),
        _record("a" * 16, priority=-1),
    ]
    _update(context, context.room)


@then("the one of a higher priority is first and the standing one second")
def _first(context):
    assert _ranked(context, context.order)[:2] == ["a" * 16, "b" * 16]


@when("two of them are expired for long")
def _expired(context):
    context.records += [
        _record("a" * 16, age_ms=200_000),
        _record("b" * 16, age_ms=190_000),
    ]
    _update(context, context.room)
    _update(context, context.room, NOW_MS + 1000)


@then("the older one goes first and the other one last")
def _aged(context):
    ranked = _ranked(context, context.order)
    assert ranked[0] == "a" * 16, ranked
    assert ranked[-1] == "b" * 16, ranked


@given(
    "tasks that hold {cores:d} processors and do {share:g} of their work in "
    "time"
)
def _paced(context, cores, share):
    context.pace, context.cores, context.share = PaceShare(), cores, share


def _work_of(cores):
    work = AssignedWork()
    work.add(1000 * cores, 4000)
    return work


@when("they have run for {seconds:d} s")
def _run(context, seconds):
    context.now_ms = NOW_MS + 1000 * seconds
    # Nothing runs in the first 20 s.
    for now_ms in range(NOW_MS - 20_000, context.now_ms, 250):
        cores = context.cores if now_ms >= NOW_MS else 0
        context.pace.observe(
            context.share * cores * 250,
            count_assigned=lambda cores=cores: _work_of(cores),
            now_ms=now_ms,
        )


@then("{share:g} of the room is counted on")
def _counted_on(context, share):
    found = context.pace.share(context.now_ms)
    assert abs(found - share) < 0.05, found


@given(
    "20 workflows whose tasks are all assigned, with room for twice as many"
)
def _assigned(context):
    context.order = _order()
    context.records = [
        _record(f"{number:016x}", latency_ms=60_000) for number in range(20)
    ]
    for record in context.records:
        _assign_all(record)


def _assign_all(record):
    record.phase = WorkflowPhase.RUNNING
    for index in range(record.workflow.steps[0].count):
        task = record.task(0, 0, index)
        task.vm = "a"
        record.tasks[task.task_id] = task


@given("10 workflows of 20 tasks of 60 s on 200 of 1000 processors")
def _long_tasks(context):
    context.order = _order()
    context.records = [
        _record(f"{number:016x}", count=20, run_ms=60_000, latency_ms=60_000)
        for number in range(10)
    ]
    for record in context.records:
        _assign_all(record)


@then("no overload is seen in the {seconds:d} s in which they run")
def _no_overload(context, seconds):
    for now_ms in range(NOW_MS, NOW_MS + 1000 * seconds, 250):
        _update(context, 1_000_000, now_ms)
        assert not context.order.overloads, now_ms - NOW_MS


@when("none of them is done within {seconds:d} s")
def _none_done(context, seconds):
    for now_ms in range(NOW_MS, NOW_MS + 1000 * seconds + 1, 250):
        _update(context, 400_000, now_ms)


@then("this is {taken} for an overload")
def _overload_seen(context, taken):
    assert bool(context.order.overloads) == (taken == "taken")


@when("the first one is done and the clock is set back by {seconds:d} s")
def _set_back(context, seconds):
    first = context.records[-2]
    first.phase = WorkflowPhase.COMPLETED
    first.ended_ms = NOW_MS
    # The second update finds the overload at the new time.
    for now_ms in (NOW_MS - 1000 * seconds, NOW_MS - 1000 * seconds + 250):
        _update(context, context.room, now_ms)


@then("the other one goes first")
def _other_first(context):
    ranked = _ranked(context, context.order, NOW_MS - 20_000)
    assert ranked[0] == "b" * 16, ranked


@when(
    "the clock is set back by {back:d} s and they do {share:g} for "
    "{seconds:d} s"
)
def _slower(context, back, share, seconds):
    begin_ms = context.now_ms - 1000 * back
    context.now_ms = begin_ms + 1000 * seconds
    for now_ms in range(begin_ms, context.now_ms, 250):
        context.pace.observe(
            share * context.cores * 250,
            count_assigned=lambda: _work_of(context.cores),
            now_ms=now_ms,
        )


@when("the tasks of all of them run and are ranked by class and work left")
def _precedence(context):
    for record in context.records:
        record.workflow.steps[0].fills = True
    ranks = TaskPrecedenceOrder(run_times=CallerEstimates()).rank(
        [
            (record, TaskId.parse(f"{record.workflow.workflow_id}.0.0.0"), 0)
            for record in context.records
        ],
        class_of=lambda record: context.order.key(record, now_ms=NOW_MS)[
            :CLASS_PARTS
        ],
    )
    context.names = sorted(ranks, key=ranks.get)


@then("they have the order of the workflows")
def _same_order(context):
    found = [name.partition(".")[0] for name in context.names]
    assert found == _ranked(context, context.order), found
