"""Steps about workflows that have started and those that wait."""

import functools

import trio
from behave import then
from behave import when

from radishlanding.dispatch import keys
from radishlanding.dispatch.wall_clock import now_ms
from radishlanding.message import RunningTask
from radishlanding.message import TaskEndReport
from radishlanding.workflow import EndKind
from radishlanding.workflow import Step
from radishlanding.workflow import WorkflowPhase
from tests.dispatch.leader_steps import follow
from tests.dispatch.leader_steps import open_next_leader
from tests.dispatch.leader_steps import send_report
from tests.workflow.workflow_steps import make_workflow
from tests.workflow.workflow_steps import NAME
from tests.workflow.workflow_steps import NEEDS
from tests.workflow.workflow_steps import QUEUE

ORDER_S = 2.0


def _submit(context, name=NAME):
    workflow = make_workflow(
        [Step(count=1, needs=NEEDS)], name=name, max_attempts=3
    )
    context.bridge.call(
        functools.partial(context.leader.submit, workflow, request_id="r")
    )


async def _await_order(context, name, count):
    """Return the latest of a number of orders for a workflow."""
    with trio.fail_after(ORDER_S):
        while True:
            orders = [
                order
                for order in context.agents["vm1"].started
                if order.task_id.startswith(name)
            ]
            if len(orders) >= count:
                return orders[-1]
            await trio.sleep(0.01)


def _report(context, **fields):
    context.bridge.call(
        functools.partial(send_report, context, "vm1", **fields)
    )


def _report_end(context, kind, *, has_run):
    order = context.order
    end = TaskEndReport(
        task_id=order.task_id,
        attempt=order.attempt,
        kind=kind,
        has_run=has_run,
    )
    _report(context, ended=[end])


def _report_running(context, *, is_unconfirmed=False):
    order = context.order
    item = RunningTask(
        task_id=order.task_id,
        attempt=order.attempt,
        is_unconfirmed=is_unconfirmed,
    )
    _report(context, running=[item])


@when("a workflow of 1 task is assigned to the VM")
def _assigned(context):
    _submit(context)
    context.order = context.bridge.call(_await_order, context, NAME, 1)


@when("the VM reports that the worker refused the start")
@when("the VM reports that the attempt was given up")
def _refused(context):
    _report_end(context, EndKind.NOT_RUN, has_run=False)


@when("the VM reports that the worker refused the next start")
def _next_refused(context):
    context.order = context.bridge.call(_await_order, context, NAME, 2)
    _refused(context)


@when("the VM reports that the start is unanswered")
def _unanswered(context):
    _report_running(context, is_unconfirmed=True)


@when("the VM loses its worker before the start is answered")
def _worker_lost(context):
    _report_end(context, EndKind.INTERRUPTED, has_run=False)


@when("the agent of the VM does not report again")
def _no_report(_context):
    pass


@when("the VM reports that it runs")
def _runs(context):
    _report_running(context)


@when("the VM reports that it has failed")
def _failed(context):
    # Earlier agents do not say that it has run.
    _report_end(context, EndKind.FAILED, has_run=False)


@when("the VM reports that the worker has stopped it")
def _stopped(context):
    _report_end(context, EndKind.INTERRUPTED, has_run=True)


async def _state(context):
    answer = await context.leader.find(NAME, QUEUE)
    return context.leader.backlog(QUEUE), answer.phase


async def _stays(context, state, for_s):
    with trio.move_on_after(for_s):
        while True:
            found = await _state(context)
            assert found == state, found
            await trio.sleep(0.05)


@then("1 workflow waits for {for_s:g} s, and is shown as queued")
def _waits(context, for_s):
    context.bridge.call(_stays, context, (1, WorkflowPhase.QUEUED), for_s)


@then("no workflow waits for {for_s:g} s, and it is shown as running")
def _stays_running(context, for_s):
    context.bridge.call(_stays, context, (0, WorkflowPhase.RUNNING), for_s)


async def _becomes(context, state, wait_s):
    with trio.fail_after(wait_s):
        while await _state(context) != state:
            await trio.sleep(0.05)


@then("within {wait_s:g} s no workflow waits, and it is shown as running")
def _is_running(context, wait_s):
    state = 0, WorkflowPhase.RUNNING
    context.bridge.call(_becomes, context, state, wait_s)


async def _await_record(context):
    """Wait until what the leader knows by now is on record."""
    await trio.sleep(1.0)


async def _snapshot(context):
    await context.leader_log.snapshot(context.registry, now_ms=now_ms())


@when("another leader takes over, and no VM follows it")
def _takes_over(context):
    context.bridge.call(_await_record, context)
    context.bridge.call(open_next_leader, context)


@when("another leader takes over, by a snapshot")
def _takes_over_by_snapshot(context):
    context.bridge.call(_await_record, context)
    context.bridge.call(_snapshot, context)
    context.bridge.call(open_next_leader, context)


@when("another leader takes over, and the VM reports that it runs")
def _takes_over_and_learns(context):
    _takes_over(context)
    follow(context, "vm1")
    _report_running(context)


@when("an earlier build has written the snapshot that the next leader reads")
def _earlier_snapshot(context):
    context.registry.workflows[NAME].phase = WorkflowPhase.RUNNING
    _takes_over_by_snapshot(context)


def _entry_count(context):
    return len(context.platform_store.keys(keys.LOG))


@when("{count:d} workflows start one after the other, {gap_ms:d} ms apart")
def _start_in_turn(context, count, gap_ms):
    names = [f"{number:016x}" for number in range(1, count + 1)]
    orders = []
    for name in names:
        _submit(context, name)
        orders.append(context.bridge.call(_await_order, context, name, 1))
    context.entries_before = _entry_count(context)
    for started in range(1, count + 1):
        running = [
            RunningTask(
                task_id=order.task_id,
                attempt=order.attempt,
                is_unconfirmed=number >= started,
            )
            for number, order in enumerate(orders)
        ]
        _report(context, running=running)
        context.bridge.call(trio.sleep, gap_ms / 1000)


@then("their starts took at most {count:d} entries of their own")
def _few_entries(context, count):
    found = _entry_count(context) - context.entries_before
    assert found <= count, found
