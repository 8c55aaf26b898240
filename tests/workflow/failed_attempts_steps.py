"""Steps about the failed attempts of gangs and tasks."""

import functools
import json
import random
import re

from behave import given
from behave import then
from behave import when

from radishlanding.store import pack
from radishlanding.store import unpack
from radishlanding.workflow import Assignment
from radishlanding.workflow import EndKind
from radishlanding.workflow import LogEntry
from radishlanding.workflow import Step
from radishlanding.workflow import TaskEnd
from radishlanding.workflow import WorkflowRecord
from radishlanding.workflow import WorkflowRegistry
from tests.workflow.workflow_steps import make_workflow
from tests.workflow.workflow_steps import NAME
from tests.workflow.workflow_steps import NEEDS


def _apply(context, **changes):
    entry = LogEntry(commit_id="c", made_ms=1000, **changes)
    context.registry.apply(unpack(LogEntry, pack(entry)))


def _record(context):
    return context.registry.workflows[NAME]


def _pass_snapshot(context, change=lambda record: None):
    """Let another process read the snapshot, changed as an earlier build's."""
    records = json.loads(pack(context.registry.snapshot_records()))
    for record in records:
        change(record)
    context.registry = WorkflowRegistry()
    context.registry.load(unpack(list[WorkflowRecord], pack(records)))


def _task_id(index, occurrence=0):
    return f"{NAME}.{occurrence}.0.{index}"


def _end(index, attempt, kind, occurrence=0):
    return TaskEnd(
        task_id=_task_id(index, occurrence),
        attempt=attempt,
        kind=EndKind(kind),
    )


@given(
    "a gang of {count:d} tasks with {limit:d} attempts in {repeats:d} "
    "occurrences"
)
def _repeated_gang(context, count, limit, repeats):
    workflow = make_workflow(
        [Step(count=count, needs=NEEDS, gang=True)],
        max_attempts=limit,
        repeats=repeats,
        interval_ms=1000,
    )
    context.registry = WorkflowRegistry()
    _apply(context, accepted=[workflow])


@when("the gang runs")
@when("the gang runs in occurrence {occurrence:d}")
def _gang_runs(context, occurrence=0):
    record = _record(context)
    members = record.pending_tasks(occurrence, 0)
    assert len(members) == record.workflow.steps[0].count, members
    context.attempt = 1 + max(task.attempt for task in members)
    context.assignments = [
        Assignment(
            task_id=task.task_id, attempt=context.attempt, vm="vm1", boot="b1"
        )
        for task in members
    ]
    _apply(context, assignments=context.assignments, started=[NAME])


def _interrupt_others(context, failed, attempt):
    count = _record(context).workflow.steps[0].count
    _apply(
        context,
        ends=[
            _end(index, attempt, "interrupted")
            for index in range(count)
            if index not in failed
        ],
    )


@when("attempt {attempt:d} ends failed for members {members} in one entry")
def _in_one_entry(context, attempt, members):
    failed = list(map(int, re.findall(r"\d+", members)))
    _apply(context, ends=[_end(index, attempt, "failed") for index in failed])
    _interrupt_others(context, failed, attempt)


@when(
    "attempt {attempt:d} ends failed for members {members} in one entry, sent "
    "twice"
)
def _sent_twice(context, attempt, members):
    failed = list(map(int, re.findall(r"\d+", members)))
    for _ in range(2):
        _apply(
            context, ends=[_end(index, attempt, "failed") for index in failed]
        )
    _interrupt_others(context, failed, attempt)


@when("attempt {attempt:d} ends failed for members {members} in two entries")
def _in_two_entries(context, attempt, members):
    _in_order(context, attempt, map(int, re.findall(r"\d+", members)))


@when(
    "attempt {attempt:d} ends failed for members {members} in two entries, in "
    "reverse"
)
def _in_reverse(context, attempt, members):
    numbers = list(map(int, re.findall(r"\d+", members)))
    _in_order(context, attempt, numbers[::-1])


@when(
    "attempt {attempt:d} ends failed for members {members} before and after a "
    "snapshot"
)
def _around_snapshot(context, attempt, members):
    numbers = map(int, re.findall(r"\d+", members))
    _in_order(
        context,
        attempt,
        numbers,
        between=functools.partial(_pass_snapshot, context),
    )


def _in_order(context, attempt, failed, between=lambda: None):
    failed = list(failed)
    for index in failed:
        _apply(context, ends=[_end(index, attempt, "failed")])
        between()
    _interrupt_others(context, failed, attempt)


@when("its next attempt ends failed for member {index:d}")
def _next_fails(context, index):
    _apply(context, ends=[_end(index, context.attempt, "failed")])


@when("attempt {attempt:d} ends {kind:w} for member {index:d}")
@when(
    "attempt {attempt:d} ends {kind:w} for member {index:d} in occurrence "
    "{occurrence:d}"
)
def _member_ends(context, attempt, kind, index, occurrence=0):
    _apply(context, ends=[_end(index, attempt, kind, occurrence)])


@when("attempt {attempt:d} ends interrupted for all members")
def _all_interrupted(context, attempt):
    _interrupt_others(context, [], attempt)


@given("an earlier build has counted its failures as {counts} in {ended}")
def _counted_earlier(context, counts, ended):
    attempts = int(ended.split()[0])
    for attempt in range(1, attempts + 1):
        _gang_runs(context)
        _all_interrupted(context, attempt)
    failures = list(map(int, counts.split(", ")))

    def change(record):
        record.pop("failed_attempts", None)
        for index, count in enumerate(failures):
            record["tasks"][_task_id(index)]["failures"] = count

    _pass_snapshot(context, change)


@given(
    "an earlier build has counted the failure of member {index:d} in its "
    "attempt 1"
)
def _one_counted_earlier(context, index):
    _gang_runs(context)
    _apply(context, ends=[_end(index, 1, "interrupted")])

    def change(record):
        record.pop("failed_attempts", None)
        record["tasks"][_task_id(index)]["failures"] = 1

    _pass_snapshot(context, change)


@then("the gang may start again")
def _may_start(context):
    assert _record(context).pending_tasks(0, 0)


@then("the failures of its members add up to {count:d}")
def _added_up(context, count):
    tasks = _record(context).tasks.values()
    found = [task.failures for task in tasks]
    assert sum(found) == count, found


@then("a late failure of task 0.0.{index:d} needs an entry: {expected:w}")
def _needs_entry(context, index, expected):
    needs = context.registry.needs(_end(index, 1, "failed"))
    assert needs == (expected == "yes"), needs


@then("no failed attempts are on record")
def _none_on_record(context):
    found = _record(context).failed_attempts
    assert not found, found


@then(
    "it is in {count:d} random orders of ends, repeats, lost VMs and snapshots"
)
def _any_order(context, count):
    for seed in range(count):
        _check_random_order(context, random.Random(seed))


def _check_random_order(context, rng):
    """Run some attempts whose failures arrive at any time, also twice."""
    attempts, size = rng.randint(1, 5), rng.randint(1, 4)
    _repeated_gang(context, size, attempts + 1, 0)
    delayed, failed = [], set()

    def deliver(ends):
        for end in ends:
            _apply(context, ends=[end] * rng.randint(1, 2))
            if rng.random() < 0.2:
                _pass_snapshot(context)
            failed.update({end.attempt} if end.kind == "failed" else ())
            found = sum(
                task.failures for task in _record(context).tasks.values()
            )
            assert found == len(failed), (found, failed)

    for attempt in range(1, attempts + 1):
        _gang_runs(context)
        ends = []
        for index in range(size):
            kind = rng.choice(["failed", "interrupted"])
            end = _end(index, attempt, kind)
            if kind == "failed" and rng.random() < 0.5:
                delayed.append(end)
                end = _end(index, attempt, "interrupted")
            ends.append(end)
        rng.shuffle(ends)
        deliver(ends)
        rng.shuffle(delayed)
        number = rng.randint(0, len(delayed))
        deliver(delayed[:number])
        del delayed[:number]
    deliver(delayed)
