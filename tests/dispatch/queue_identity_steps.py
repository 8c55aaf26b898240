"""Steps for workflows of several queues."""

import functools

import trio
from behave import given
from behave import then
from behave import when

from radishlanding.dispatch.wall_clock import now_ms
from radishlanding.message import RunningTask
from radishlanding.message import TaskEndReport
from radishlanding.workflow import EndKind
from radishlanding.workflow import QueueRef
from radishlanding.workflow import Step
from radishlanding.workflow import WorkflowOutcome
from radishlanding.workflow import WorkflowPhase
from tests.dispatch.leader_steps import open_next_leader
from tests.dispatch.leader_steps import send_report
from tests.standin.log_lines import captured_lines
from tests.workflow.workflow_steps import make_workflow
from tests.workflow.workflow_steps import NAME
from tests.workflow.workflow_steps import NEEDS
from tests.workflow.workflow_steps import QUEUE

BILLS = QueueRef(name="bills", base_url="h/bills/")
QUEUES = {"q": QUEUE, "bills": BILLS}
UNPLACEABLE = "d" * 16
STORE_DELAY_S = 0.3
SETTLE_S = 0.3
# Callers are told of a start within this time.
STARTED_S = 2.0


def _workflow(queue, *, name=NAME, **step):
    return make_workflow(
        [Step(count=1, needs=NEEDS, **step)],
        name=name,
        queue=queue.name,
        base_url=queue.base_url,
    )


def _submit(context, workflow):
    return context.bridge.call(
        functools.partial(context.leader.submit, workflow, request_id="r")
    )


def _cancel(context, queue, *, name=NAME):
    return context.bridge.call(
        functools.partial(context.leader.cancel, name, queue, request_id="r")
    )


def _find(context, queue, *, name=NAME):
    return context.bridge.call(context.leader.find, name, queue)


@given("a workflow of queue q that waits for its entry")
def _waiting(context):
    context.platform_store.delay_s = STORE_DELAY_S
    for name in (UNPLACEABLE, NAME):
        context.bridge.spawn(
            functools.partial(
                context.leader.submit,
                _workflow(QUEUE, name=name),
                request_id="r",
            )
        )
        context.bridge.call(trio.sleep, STORE_DELAY_S / 3)


@given("a workflow of queue q that is running")
def _running(context):
    answer = _submit(context, _workflow(QUEUE))
    assert answer.outcome == WorkflowOutcome.FOUND, answer
    context.bridge.call(trio.sleep, SETTLE_S)
    (order,) = context.agents["vm1"].started
    item = RunningTask(task_id=order.task_id, attempt=order.attempt)
    context.bridge.call(
        functools.partial(send_report, context, "vm1", running=[item])
    )
    context.bridge.call(_await_running, context, NAME)


async def _await_running(context, name):
    with trio.fail_after(STARTED_S):
        while True:
            answer = await context.leader.find(name, QUEUE)
            if answer.phase == WorkflowPhase.RUNNING:
                return
            await trio.sleep(0.05)


@given("a workflow of queue q that is completed")
def _completed(context):
    _running(context)
    end = TaskEndReport(task_id=f"{NAME}.0.0.0", attempt=1, kind=EndKind.DONE)
    context.bridge.call(
        functools.partial(send_report, context, "vm1", ended=[end])
    )
    context.bridge.call(trio.sleep, SETTLE_S)
    phase = _find(context, QUEUE).phase
    assert phase == WorkflowPhase.COMPLETED, phase


@given("a workflow of queue q that is cancelled")
def _cancelled(context):
    _running(context)
    _cancel(context, QUEUE)


@given("a workflow of queue q that the next leader has recovered")
def _recovered(context):
    _running(context)
    context.bridge.call(open_next_leader, context)


async def _snapshot(context):
    await context.leader_log.snapshot(context.registry, now_ms=now_ms())


@given("a workflow of queue q that is in a snapshot and completed")
def _in_snapshot(context):
    _completed(context)
    context.bridge.call(_snapshot, context)
    context.bridge.call(open_next_leader, context)


@given("a workflow of queue q that was recorded without a URL")
def _without_url(context):
    workflow = _workflow(QUEUE)
    workflow.base_url = ""
    _submit(context, workflow)


@when("a workflow of queue {queue:w} with its identity is submitted")
def _submitted(context, queue):
    with captured_lines("radishlanding.dispatch") as context.lines:
        answer = _submit(context, _workflow(QUEUES[queue]))
    context.answers = [answer]


@then("it is refused, for good, as another queue uses its identity")
def _refused(context):
    (answer,) = context.answers
    assert answer.outcome == WorkflowOutcome.REFUSED, answer
    assert answer.retry_after_s == 0, answer
    assert answer.reason == "another queue uses this identity", answer


@then("one log line names both queues")
def _names_queues(context):
    found = [
        line
        for line in context.lines
        if "event=submission_conflict" in line
        and "queue=bills" in line
        and "owner=q" in line
    ]
    assert len(found) == 1, context.lines


@when("it is looked up at queue {queue:w}")
def _looked_up(context, queue):
    context.answers = [_find(context, QUEUES[queue])]


@when("it is looked up at queue {name:w} of {url}")
def _looked_up_at(context, name, url):
    if name == "none":
        context.queue_ref = QueueRef()
    else:
        context.queue_ref = QueueRef(name=name, base_url=url)
    context.answers = [_find(context, context.queue_ref)]


@then("{count:d} workflows of this queue wait, of one that can't be placed")
def _wait(context, count):
    _submit(context, _workflow(QUEUE, name=UNPLACEABLE, label="nowhere"))
    found = context.leader.backlog(context.queue_ref)
    assert found == count, found


@when("it is cancelled at queue {queue:w}")
@when("an unknown workflow is cancelled at queue {queue:w}")
def _cancelled_at(context, queue):
    context.answers = [_cancel(context, QUEUES[queue])]


@then("it is {phase:w} at queue {queue:w}")
def _is_shown(context, phase, queue):
    found = _find(context, QUEUES[queue]).phase
    assert found == phase, found


@when("the workflow of queue q is forgotten")
def _forgotten(context):
    del context.registry.workflows[NAME]


@when("it is cancelled at queues q and bills behind a slow entry")
def _cancelled_at_both(context):
    context.platform_store.delay_s = STORE_DELAY_S
    context.bridge.spawn(
        functools.partial(
            context.leader.submit,
            _workflow(QUEUE, name=UNPLACEABLE, label="nowhere"),
            request_id="r",
        )
    )
    context.bridge.call(trio.sleep, STORE_DELAY_S / 3)
    context.by_queue = {}

    async def cancel(queue):
        context.by_queue[queue.name] = await context.leader.cancel(
            NAME, queue, request_id="r"
        )

    async def both():
        async with trio.open_nursery() as nursery:
            nursery.start_soon(cancel, QUEUE)
            nursery.start_soon(cancel, BILLS)

    context.bridge.call(both)


@then("queue q gets {first:w}, and queue bills gets {second:w}")
def _get_outcomes(context, first, second):
    found = [context.by_queue[name].outcome for name in ("q", "bills")]
    assert found == [first, second], found


@when("workflows {first:w} and {second:w} are submitted")
def _both_submitted(context, first, second):
    context.names = [first, second]
    context.answers = [
        _submit(context, _workflow(QUEUE, name=name)) for name in context.names
    ]


@then("within {wait_s:d} s the VM is ordered to start a task of each")
def _started_each(context, wait_s):
    started = context.agents["vm1"].started
    for _ in range(wait_s * 20):
        if len(started) >= len(context.names):
            break
        context.bridge.call(trio.sleep, 0.05)
    found = sorted(order.task_id for order in started)
    assert found == sorted(f"{name}.0.0.0" for name in context.names), found


@when("workflow {name:w} is cancelled")
def _name_cancelled(context, name):
    _cancel(context, QUEUE, name=name)


@then("workflow {name:w} is running")
def _name_running(context, name):
    context.bridge.call(_await_running, context, name)
