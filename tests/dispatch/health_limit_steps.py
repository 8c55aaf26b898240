"""Steps about VMs that are barred by their health."""

import random
import time

from behave import given
from behave import then
from behave import when

from radishlanding.config import Site
from radishlanding.dispatch.vm_health_tracker import MIN_QUARANTINE_S
from radishlanding.policy import EarliestDeadline
from radishlanding.policy import WorkflowPlanner
from radishlanding.policy.refusal import Refusal
from radishlanding.workflow import Assignment
from radishlanding.workflow import LogEntry
from radishlanding.workflow import Step
from radishlanding.workflow import WorkflowRecord
from tests.dispatch.wait_reporter_steps import add_vm
from tests.dispatch.wait_reporter_steps import make_fleet
from tests.dispatch.wait_reporter_steps import NEEDS
from tests.workflow.workflow_steps import make_workflow

LABEL = "large"


@given("a fleet of {vms:d} VMs of which {bad:d} are {state:w}")
def _fleet(context, vms, bad, state):
    make_fleet(context)
    for number in range(vms):
        is_bad = number < bad
        name = f"{state if is_bad else 'sound'} {number}"
        add_vm(context, name, state if is_bad else "sound")


@when("a lasting workflow of 4 tasks is planned")
def _planned(context):
    _plan(context, 0)


@when("a lasting workflow of 4 tasks is planned after a wait of {wait_s:g} s")
def _planned_late(context, wait_s):
    _plan(context, wait_s)


def _plan(context, wait_s):
    planner = WorkflowPlanner(
        order=EarliestDeadline(),
        interference=context.interference,
        rng=random.Random(1),
    )
    workflow = make_workflow(
        [Step(count=4, needs=NEEDS, standing=True)], accepted_ms=1000
    )
    loads = context.fleet.loads(Site(version=1), with_stuck=True)
    context.assignments = planner.plan(
        [WorkflowRecord(workflow=workflow)],
        loads,
        now_ms=1000 + int(wait_s * 1000),
    )


@given("its sound VMs are full")
def _full(context):
    for session in context.fleet.sessions.values():
        if session.vm.startswith("sound"):
            count = session.state.capacity.millicores // NEEDS.millicores
            _assign(context, session, count)


@given("the quarantine is over, and a task runs as a probe")
def _probed(context):
    time.sleep(MIN_QUARANTINE_S + 0.1)
    for session in context.fleet.sessions.values():
        if session.vm.startswith("quarantined"):
            _assign(context, session, 1)


def _assign(context, session, count):
    """Assign tasks of a workflow to a VM."""
    name = f"{len(context.registry.workflows) + 100:016x}"
    workflow = make_workflow([Step(count=count, needs=NEEDS)], name=name)
    assignments = [
        Assignment(
            task_id=f"{name}.0.0.{index}", attempt=1, vm=session.vm, boot="b"
        )
        for index in range(count)
    ]
    context.registry.apply(
        LogEntry(
            commit_id="c",
            made_ms=1,
            accepted=[workflow],
            assignments=assignments,
        )
    )


@when("a lasting workflow of 4 tasks has waited for {wait_s:g} s")
def _waited(context, wait_s):
    _plan_twice(context, wait_s, "")


@when(
    "a lasting workflow of 4 tasks that need a stuck VM has waited for "
    "{wait_s:g} s"
)
def _waited_for_label(context, wait_s):
    for session in context.fleet.sessions.values():
        if session.vm.startswith("stuck"):
            session.state.labels = [LABEL]
    _plan_twice(context, wait_s, LABEL)


def _plan_twice(context, wait_s, label):
    """Plan when a workflow is accepted, and again after a wait."""
    planner = WorkflowPlanner(
        order=EarliestDeadline(),
        interference=context.interference,
        rng=random.Random(1),
    )
    step = Step(count=4, needs=NEEDS, standing=True, label=label)
    records = [WorkflowRecord(workflow=make_workflow([step], accepted_ms=1))]
    loads = context.fleet.loads(Site(version=1), with_stuck=True)
    assert not planner.plan(records, loads, now_ms=1)
    loads = context.fleet.loads(Site(version=1), with_stuck=True)
    at_ms = 1 + int(wait_s * 1000)
    context.assignments = planner.plan(records, loads, now_ms=at_ms)
    context.wait = planner.explain(records[0], loads, now_ms=at_ms)


@then(
    "{stuck:d} VM is reported to refuse them as stuck and {full:d} for their "
    "processors"
)
def _refusals(context, stuck, full):
    assert context.wait.refusals == {
        Refusal.STUCK: stuck,
        Refusal.PROCESSORS: full,
    }, context.wait


@then("all {count:d} tasks are placed")
def _all_placed(context, count):
    assert len(context.assignments) == count, context.assignments


@then("{count:d} tasks are placed, none of them on VMs that are {state:w}")
def _placed_elsewhere(context, count, state):
    vms = [item.vm for item in context.assignments]
    assert len(vms) == count, vms
    assert not any(vm.startswith(state) for vm in vms), vms
