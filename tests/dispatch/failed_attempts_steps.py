"""Steps about the limit of failed attempts at a leader."""

import functools

import trio
from behave import then
from behave import when

from radishlanding.message import RunningTask
from radishlanding.message import TaskEndReport
from radishlanding.workflow import EndKind
from radishlanding.workflow import Step
from tests.dispatch.leader_steps import follow
from tests.dispatch.leader_steps import send_report
from tests.workflow.workflow_steps import make_workflow
from tests.workflow.workflow_steps import NEEDS

# Longer than the lease of the fixture's VMs, with its allowance for drift.
LOST_S = 1.6
# Several rounds of placement.
QUIET_S = 0.6


@when("a gang of {count:d} tasks with {limit:d} attempts is submitted")
def _gang(context, count, limit):
    _submit(context, count, limit, gang=True)


@when("a task with {limit:d} attempts is submitted")
def _task(context, limit):
    _submit(context, 1, limit)


def _submit(context, count, limit, **fields):
    step = Step(count=count, needs=NEEDS, **fields)
    submit = functools.partial(
        context.leader.submit,
        make_workflow([step], max_attempts=limit),
        request_id="r",
    )
    context.bridge.call(submit)
    context.count = count


def _orders(context, vm, attempt):
    return [
        order
        for order in context.agents[vm].started
        if order.attempt == attempt
    ]


def _report_failed(context, vm, attempt, count):
    """Report that members have failed, and the others were interrupted."""
    orders = _orders(context, vm, attempt)
    ended = [
        TaskEndReport(
            task_id=order.task_id,
            attempt=attempt,
            kind=EndKind.FAILED if number < count else EndKind.INTERRUPTED,
        )
        for number, order in enumerate(orders)
    ]
    context.bridge.call(
        functools.partial(send_report, context, vm, ended=ended)
    )


@when(
    "the VM reports that attempt {attempt:d} has failed for {count:d} members"
)
@when(
    "the VM reports that attempt {attempt:d} has failed for {count:d} member"
)
def _fails(context, attempt, count):
    _report_failed(context, "vm1", attempt, count)


async def _has_orders(context, vm, attempt, wait_s):
    with trio.move_on_after(wait_s):
        while len(_orders(context, vm, attempt)) < context.count:
            await trio.sleep(0.01)
        return True
    return False


@then("within {wait_s:g} s the gang is ordered again, as attempt {attempt:d}")
def _ordered_again(context, wait_s, attempt):
    assert context.bridge.call(_has_orders, context, "vm1", attempt, wait_s)


@then("the gang is not ordered as attempt {attempt:d}")
@then("it is not ordered as attempt {attempt:d}")
def _not_ordered(context, attempt):
    context.bridge.call(trio.sleep, QUIET_S)
    for vm in context.agents:
        assert not _orders(context, vm, attempt), vm


@when("another VM follows, and the first one is lost")
def _first_lost(context):
    context.bridge.call(trio.sleep, LOST_S)
    assert "vm1" not in context.leader.fleet.sessions
    follow(context, "vm2")


@then(
    "within {wait_s:g} s the other VM is ordered to start it, as attempt "
    "{attempt:d}"
)
def _other_ordered(context, wait_s, attempt):
    assert context.bridge.call(_has_orders, context, "vm2", attempt, wait_s)


@when(
    "the first VM follows again, and reports that attempt {attempt:d} has "
    "failed"
)
def _back(context, attempt):
    before = context.agents["vm1"].started
    follow(context, "vm1")
    context.agents["vm1"].started += before
    _report_failed(context, "vm1", attempt, 1)


@when("the other VM reports that attempt {attempt:d} has failed")
def _other_fails(context, attempt):
    # The VM has been silent meanwhile, within its lease.
    running = [
        RunningTask(task_id=order.task_id, attempt=attempt)
        for order in _orders(context, "vm2", attempt)
    ]
    context.bridge.call(
        functools.partial(send_report, context, "vm2", running=running)
    )
    _report_failed(context, "vm2", attempt, 1)


@then("the ends of attempt {attempt:d} are acknowledged")
def _acknowledged(context, attempt):
    found = [
        key
        for key in context.agents["vm1"].acknowledged
        if key.epoch == attempt
    ]
    assert len(found) == context.count, found
