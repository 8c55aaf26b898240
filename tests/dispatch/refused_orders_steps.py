"""Steps about VMs that refuse their orders."""

import functools

import trio
from behave import given
from behave import then
from behave import when

from radishlanding.message import RunningTask
from radishlanding.message import TaskEndReport
from radishlanding.vm import Capacity
from radishlanding.vm import clock_ms
from radishlanding.workflow import EndKind
from radishlanding.workflow import Step
from tests.dispatch.leader_steps import follow
from tests.dispatch.leader_steps import IMAGE
from tests.dispatch.leader_steps import send_report
from tests.workflow.workflow_steps import make_workflow

FILLER = "d" * 16
WORKFLOW = "e" * 16
OTHER_WORKFLOW = "f" * 16
# Well within the leases of the leader's fixture.
REPORT_INTERVAL_S = 0.1


@given("a best-effort task takes all processors of vm1")
def _filler(context):
    _submit(context, FILLER, millicores=64_000)
    assert context.bridge.call(_has_order, context, "vm1", FILLER, 2)
    context.bridge.call(_start, context, _report_running, "vm1")


@given("vm2 follows, and refuses every order")
def _refusing(context):
    follow(context, "vm2")
    context.bridge.call(_start, context, _refuse_orders, "vm2")


@given("vm2 follows, and reports that its worker is silent")
def _silent(context):
    follow(context, "vm2")
    context.vm2_is_silent = True
    context.bridge.call(_report_silence, context)
    context.bridge.call(_start, context, _keep_reporting_silence, "vm2")


@when("vm2 reports that its worker answers")
def _answers(context):
    context.vm2_is_silent = False
    context.bridge.call(_report_silence, context)


@when("a best-effort workflow of 1 task is submitted")
def _submitted(context):
    context.workflow_id = WORKFLOW
    _submit(context, WORKFLOW, millicores=4000)


@when("another best-effort workflow is submitted")
def _another_submitted(context):
    context.workflow_id = OTHER_WORKFLOW
    _submit(context, OTHER_WORKFLOW, millicores=4000)


@then("within {wait_s:g} s {vm:w} is ordered to start it")
def _started(context, wait_s, vm):
    found = context.bridge.call(
        _has_order, context, vm, context.workflow_id, wait_s
    )
    assert found, len(context.agents["vm2"].started)


@then("vm2 has been ordered to start nothing")
def _nothing_started(context):
    assert not context.agents["vm2"].started, context.agents["vm2"].started


def _submit(context, name, *, millicores):
    step = Step(
        count=1,
        needs=Capacity(millicores=millicores, memory_mb=100),
        fills=True,
        image=IMAGE,
    )
    submit = functools.partial(
        context.leader.submit,
        make_workflow([step], name=name),
        request_id="r",
    )
    context.bridge.call(submit)


async def _has_order(context, vm, workflow_id, wait_s):
    with trio.move_on_after(wait_s):
        while not any(
            order.task_id.startswith(workflow_id)
            for order in context.agents[vm].started
        ):
            await trio.sleep(0.01)
        return True
    return False


async def _start(context, reports, vm):
    context.bridge.nursery.start_soon(reports, context, vm)


async def _report_running(context, vm):
    """Report what was ordered as running."""
    while context.leader.fleet.find(vm, context.agents[vm]):
        running = [
            RunningTask(task_id=order.task_id, attempt=order.attempt)
            for order in context.agents[vm].started
        ]
        await send_report(context, vm, running=running, made_ms=clock_ms())
        await trio.sleep(REPORT_INTERVAL_S)


async def _report_silence(context):
    await send_report(context, "vm2", is_silent=context.vm2_is_silent)


async def _keep_reporting_silence(context, vm):
    while context.leader.fleet.find(vm, context.agents[vm]):
        if context.vm2_is_silent:
            await _report_silence(context)
        await trio.sleep(REPORT_INTERVAL_S)


async def _refuse_orders(context, vm):
    """Report what was ordered as not run."""
    agent = context.agents[vm]
    while context.leader.fleet.find(vm, agent):
        settled = {(key.task_id, key.epoch) for key in agent.acknowledged}
        ended = [
            TaskEndReport(
                task_id=order.task_id,
                attempt=order.attempt,
                kind=EndKind.NOT_RUN,
                reason="the worker does not answer",
            )
            for order in agent.started
            if (order.task_id, order.attempt) not in settled
        ]
        await send_report(context, vm, ended=ended, made_ms=clock_ms())
        await trio.sleep(0.01)
