"""Steps about the VMs of a gang that has failed."""

import random

from behave import then
from behave import when

from radishlanding.policy import EarliestDeadline
from radishlanding.policy import WorkflowPlanner
from radishlanding.vm import Capacity
from radishlanding.workflow import Assignment
from radishlanding.workflow import EndKind
from radishlanding.workflow import LogEntry
from radishlanding.workflow import Step
from radishlanding.workflow import TaskEnd
from radishlanding.workflow import WorkflowRegistry
from tests.workflow.workflow_steps import make_workflow
from tests.workflow.workflow_steps import NAME

NOW_MS = 1_000_000


def _apply(context, **changes):
    entry = LogEntry(commit_id="c", made_ms=NOW_MS, **changes)
    context.registry.apply(entry)


def _accept_gang(context, count, *, same_rack=False):
    step = Step(
        count=count,
        needs=Capacity(millicores=2000, memory_mb=100),
        gang=True,
        same_rack=same_rack,
    )
    workflow = make_workflow([step], max_attempts=3, accepted_ms=NOW_MS)
    context.registry = WorkflowRegistry()
    _apply(context, accepted=[workflow])


def _run(context, vms):
    """Run an attempt on some VMs, of which the first one fails it."""
    record = context.registry.workflows[NAME]
    names = [task.task_id for task in record.pending_tasks(0, 0)]
    assignments = [
        Assignment(
            task_id=name, attempt=1, vm=vms[number % len(vms)], boot="b"
        )
        for number, name in enumerate(names)
    ]
    _apply(context, assignments=assignments)
    ends = [
        TaskEnd(
            task_id=item.task_id,
            attempt=1,
            kind=EndKind.FAILED if item.vm == vms[0] else EndKind.INTERRUPTED,
        )
        for item in assignments
    ]
    _apply(context, ends=ends)


def _plan(context):
    planner = WorkflowPlanner(
        order=EarliestDeadline(),
        interference=context.interference,
        rng=random.Random(1),
    )
    records = list(context.registry.workflows.values())
    context.assignments = planner.plan(records, context.loads, now_ms=NOW_MS)


@when(
    "a gang of {count:d} tasks of 2 cores is planned again, after it failed "
    "on a and was interrupted on b"
)
def _planned_again(context, count):
    _accept_gang(context, count)
    _run(context, ["a", "b"])
    _plan(context)


@when(
    "a gang of {count:d} tasks of 2 cores on one rack is planned again, after "
    "it failed on a and was interrupted on b"
)
def _rack_planned_again(context, count):
    _accept_gang(context, count, same_rack=True)
    _run(context, ["a", "b"])
    _plan(context)


@then("{count:d} tasks are placed on a, b and c")
def _on_all(context, count):
    assert len(context.assignments) == count, context.assignments
    assert {item.vm for item in context.assignments} == {"a", "b", "c"}
