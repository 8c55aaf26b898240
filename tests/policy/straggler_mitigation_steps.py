"""Steps about stuck tasks and failed VMs."""

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
CAPACITY = Capacity(millicores=8000, memory_mb=8000)


def _load(vm, *, free=CAPACITY):
    return VmLoad(
        vm=vm,
        boot=f"{vm}/1",
        pool="order-desk",
        zone="z0",
        labels=[],
        capacity=CAPACITY,
        free=free,
        idle_millicores=free.millicores,
    )


@given(
    "a task that is estimated at {estimate_s:g} s and does "
    "{percent:g} % a second"
)
def _task(context, estimate_s, percent):
    context.estimated_ms = int(estimate_s * 1000)
    context.percent_per_s = percent
    context.monitor = ProgressMonitor()


def _list(context, listed_s, pace_percent):
    for number in range(int(listed_s * 2) + 1):
        context.monitor.observe(
            int(number / 2 * context.percent_per_s),
            pace_percent=pace_percent,
            now_s=50 + number / 2,
        )


@when("it is listed each half second for {listed_s:g} s")
def _list_at_full_pace(context, listed_s):
    _list(context, listed_s, 100)


@when(
    "it is listed each half second for {listed_s:g} s, at a pace of {pace:d} %"
)
def _list_paced(context, listed_s, pace):
    _list(context, listed_s, pace)


@then("the attempt counts as {verdict:w}")
def _verdict(context, verdict):
    is_stuck = context.monitor.is_stuck(context.estimated_ms)
    assert is_stuck == (verdict == "stuck")


@given("a VM with stuck tasks, and a healthy one with free capacity")
def _stuck_tasks(context):
    unhealthy, healthy = _load("unhealthy"), _load("healthy")
    context.loads = [unhealthy, healthy]
    context.mitigation = StragglerMitigation()
    context.stuck, context.tasks = {}, []
    for row in context.table:
        step = Step(
            count=2,
            needs=NEEDS,
            checkpointing=row["checkpointing"] == "yes",
            gang=row["gang"] == "yes",
        )
        context.stuck[row["task"]] = int(row["progress"])
        record = TaskRecord(task_id=row["task"], vm="unhealthy")
        context.tasks.append((record, step, unhealthy))


@given(
    "a step of {count:d} tasks on {vms:d} VMs, {stuck:d} of which are stuck, "
    "and a free VM"
)
def _step_on_vms(context, count, vms, stuck):
    busy = [_load(f"v{number}") for number in range(vms)]
    context.loads = [*busy, _load("free")]
    context.mitigation = StragglerMitigation()
    step = Step(count=count, needs=NEEDS, checkpointing=True)
    context.tasks = [
        (TaskRecord(task_id=f"{NAME}.0.0.{number}", vm=load.vm), step, load)
        for number, load in enumerate(busy)
    ]
    context.stuck = {f"{NAME}.0.0.{number}": 10 for number in range(stuck)}


@then("{count:d} tasks move")
def _count_moves(context, count):
    assert len(context.moved) == count, context.moved


@when("the stuck tasks to move are chosen")
def _choose_moves(context):
    context.moved = context.mitigation.choose(
        context.tasks, context.loads, context.stuck
    )


@then("the moved tasks are {names}")
def _moved_tasks(context, names):
    wanted = [] if names == "none" else names.split(" and ")
    assert [task.task_id for task in context.moved] == wanted


def _failed_task(context, loads):
    context.loads = loads
    workflow = make_workflow([Step(count=1, needs=NEEDS)])
    name = f"{NAME}.0.0.0"
    record = WorkflowRecord(workflow=workflow)
    record.tasks[name] = TaskRecord(task_id=name, attempt=1, failed_vm="v1")
    context.record = record


@given("a task that failed on v1, and free VMs v1 and v2")
def _both_free(context):
    _failed_task(context, lambda: [_load("v1"), _load("v2")])


@given("a task that failed on v1, a free VM v1 and a full VM v2")
def _one_free(context):
    _failed_task(context, lambda: [_load("v1"), _load("v2", free=Capacity())])


@when("it is placed {times:d} times")
def _place(context, times):
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
def _chosen_vms(context, how):
    assert context.vms == ({"v2"} if how == "never" else {"v1"})
