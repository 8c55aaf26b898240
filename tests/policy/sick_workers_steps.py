"""Steps about workers that are not sound."""

import random

from behave import given
from behave import then
from behave import when

from radishlanding.policy import EarliestDeadline
from radishlanding.policy import Interference
from radishlanding.policy import ProgressMonitor
from radishlanding.policy import StragglerMitigation
from radishlanding.policy import VmLoad
from radishlanding.policy import WorkflowPlanner
from radishlanding.vm import Capacity
from radishlanding.workflow import Step
from radishlanding.workflow import TaskRecord
from radishlanding.workflow import WorkflowRecord
from tests.workflow.workflow_steps import make_workflow
from tests.workflow.workflow_steps import NAME
from tests.workflow.workflow_steps import NEEDS

NOW_MS = 1_000_000
ROOM = Capacity(millicores=8000, memory_mb=8000)


def _load(vm, *, free=ROOM):
    return VmLoad(
        vm=vm,
        boot=f"{vm}/1",
        pool="order-desk",
        zone="z0",
        labels=[],
        capacity=ROOM,
        free=free,
        idle_millicores=free.millicores,
    )


@given(
    "a task that is estimated at {estimate_s:g} s and gets "
    "{percent:g} % a second"
)
def _a_task(context, estimate_s, percent):
    context.estimated_ms = int(estimate_s * 1000)
    context.percent_per_s = percent
    context.watch = ProgressMonitor()


def _watch(context, seen_s, pace_percent):
    for number in range(int(seen_s * 2) + 1):
        context.watch.observe(
            int(number / 2 * context.percent_per_s),
            pace_percent=pace_percent,
            now_s=50 + number / 2,
        )


@when("it is listed each half second for {seen_s:g} s")
def _is_listed(context, seen_s):
    _watch(context, seen_s, 100)


@when(
    "it is listed each half second for {seen_s:g} s, at a pace of {pace:d} %"
)
def _is_listed_paced(context, seen_s, pace):
    _watch(context, seen_s, pace)


@then("the attempt counts as {verdict:w}")
def _counts(context, verdict):
    is_stuck = context.watch.is_stuck(context.estimated_ms)
    assert is_stuck == (verdict == "stuck")


@given("a VM with stuck tasks, and a sound one with room")
def _stuck_tasks(context):
    sick, sound = _load("sick"), _load("sound")
    context.loads = [sick, sound]
    context.rescue = StragglerMitigation()
    context.stuck, context.tasks = {}, []
    for row in context.table:
        step = Step(
            count=2,
            needs=NEEDS,
            checkpointing=row["checkpointing"] == "yes",
            gang=row["gang"] == "yes",
        )
        context.stuck[row["task"]] = int(row["progress"])
        record = TaskRecord(task_id=row["task"], vm="sick")
        context.tasks.append((record, step, sick))


@when("the tasks to rescue are chosen")
def _choose(context):
    context.moved = context.rescue.choose(
        context.tasks, context.loads, context.stuck
    )


@then("those to rescue are {names}")
def _are(context, names):
    wanted = [] if names == "none" else names.split(" and ")
    assert [task.task_id for task in context.moved] == wanted


def _failed_task(context, loads):
    context.loads = loads
    workflow = make_workflow([Step(count=1, needs=NEEDS)])
    name = f"{NAME}.0.0.0"
    record = WorkflowRecord(workflow=workflow)
    record.tasks[name] = TaskRecord(task_id=name, attempt=1, failed_vm="v1")
    context.record = record


@given("a task that failed on v1, and VMs v1 and v2 with room")
def _both_room(context):
    _failed_task(context, lambda: [_load("v1"), _load("v2")])


@given("a task that failed on v1, and VMs v1 with room and v2 without")
def _one_room(context):
    _failed_task(context, lambda: [_load("v1"), _load("v2", free=Capacity())])


@when("it is placed {times:d} times")
def _placed(context, times):
    planner = WorkflowPlanner(
        order=EarliestDeadline(),
        interference=Interference(),
        rng=random.Random(3),
    )
    context.vms = {
        planner.plan([context.record], context.loads(), now_ms=NOW_MS)[0].vm
        for _ in range(times)
    }


@then("it {how:w} goes to v1")
def _goes(context, how):
    assert context.vms == ({"v2"} if how == "never" else {"v1"})
