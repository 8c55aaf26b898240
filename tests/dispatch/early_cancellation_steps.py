"""Steps for cancellations that precede their workflows."""

import functools

import trio
from behave import given
from behave import then
from behave import when

from radishlanding.dispatch import keys
from radishlanding.dispatch.early_cancellations import MAX_TOMBSTONES
from radishlanding.dispatch.entry_log import ENDED_RETENTION_MS
from radishlanding.dispatch.wall_clock import now_ms
from radishlanding.peer import CallRefused
from radishlanding.store import pack
from radishlanding.store import unpack
from radishlanding.workflow import LogEntry
from radishlanding.workflow import Step
from radishlanding.workflow import Tombstone
from radishlanding.workflow import WorkflowOutcome
from radishlanding.workflow import WorkflowPhase
from radishlanding.workflow import WorkflowRecord
from radishlanding.workflow import WorkflowRegistry
from tests.dispatch.leader_steps import open_next_leader
from tests.standin.log_lines import captured_lines
from tests.workflow.workflow_steps import make_workflow
from tests.workflow.workflow_steps import NAME
from tests.workflow.workflow_steps import NEEDS
from tests.workflow.workflow_steps import QUEUE

KNOWN = "e" * 16
STORE_DELAY_S = 0.3
# Longer than a round of placement and the way of an order.
SETTLE_S = 0.5


async def _cancel(context, name):
    try:
        context.cancelled = await context.leader.cancel(
            name, QUEUE, request_id="r"
        )
    except CallRefused:
        context.cancelled = None


@when("an unknown workflow is cancelled")
def _cancelled(context):
    context.bridge.call(_cancel, context, NAME)


@when("an unknown workflow is cancelled {count:d} times")
def _cancelled_often(context, count):
    for _ in range(count):
        context.bridge.call(_cancel, context, NAME)


@when("a known workflow is cancelled")
def _known_cancelled(context):
    step = Step(count=1, needs=NEEDS, label="nowhere")
    workflow = make_workflow([step], name=KNOWN)
    context.bridge.call(
        functools.partial(context.leader.submit, workflow, request_id="r")
    )
    context.bridge.call(_cancel, context, KNOWN)


def _cancel_meanwhile(context):
    context.cancelled = None
    context.bridge.spawn(_cancel, context, NAME)
    context.bridge.call(trio.sleep, STORE_DELAY_S / 3)


@when("the store is slow while an unknown workflow is cancelled")
def _cancelled_slowly(context):
    context.platform_store.delay_s = STORE_DELAY_S
    _cancel_meanwhile(context)


@when("the store is silent while an unknown workflow is cancelled")
def _cancelled_in_silence(context):
    context.platform_store.mode = "silent"
    _cancel_meanwhile(context)


@then("within {wait_s:d} s its caller is told nothing certain")
def _nothing_certain(context, wait_s):
    context.bridge.call(trio.sleep, wait_s)
    answer = context.cancelled
    assert answer is None or answer.outcome in (
        WorkflowOutcome.UNCERTAIN,
        WorkflowOutcome.REFUSED,
    ), answer


@then("its caller is told that it is absent")
def _told_absent(context):
    context.bridge.call(trio.sleep, 2 * STORE_DELAY_S)
    assert context.cancelled.outcome == WorkflowOutcome.ABSENT, (
        context.cancelled
    )


@then("its caller is told that it is cancelled")
def _told_cancelled(context):
    assert context.cancelled.phase == WorkflowPhase.CANCELLED, (
        context.cancelled
    )


@then("its caller is told to return after {wait_s:d} s")
def _told_to_return(context, wait_s):
    assert context.cancelled.outcome == WorkflowOutcome.REFUSED, (
        context.cancelled
    )
    found = context.cancelled.retry_after_s
    assert wait_s - 2 <= found <= wait_s, found


@when("the workflow arrives after its cancellation")
def _arrives(context):
    workflow = make_workflow([Step(count=2, needs=NEEDS)])
    with captured_lines("radishlanding.dispatch") as lines:
        context.submitted = context.bridge.call(
            functools.partial(context.leader.submit, workflow, request_id="r")
        )
    context.lines = lines


@then("it is refused, for good, and no task is started")
def _never_runs(context):
    answer = context.submitted
    assert answer.outcome == WorkflowOutcome.REFUSED, answer
    assert answer.retry_after_s == 0, answer
    context.bridge.call(trio.sleep, SETTLE_S)
    for agent in context.agents.values():
        assert not agent.started, agent.started


@then("one log line tells how long ago it was cancelled")
def _is_logged(context):
    found = [
        line
        for line in context.lines
        if "event=submission_after_cancellation" in line
    ]
    assert len(found) == 1, context.lines
    assert "cancelled_ms_ago=" in found[0], found


@when("nothing else happens")
def _nothing(context):
    pass


async def _snapshot(context):
    await context.leader_log.snapshot(context.registry, now_ms=now_ms())


@when("a snapshot is made")
def _snapshot_made(context):
    context.bridge.call(_snapshot, context)


@when("two snapshots are made")
def _two_snapshots(context):
    _snapshot_made(context)
    _known_cancelled(context)
    _snapshot_made(context)


@when("another leader follows")
def _another_leader(context):
    context.bridge.call(open_next_leader, context)


@then("the log has {count:d} entry")
def _entries(context, count):
    found = context.platform_store.keys(keys.LOG)
    assert len(found) == count, found


@given("as many tombstones as it may hold, the oldest {age_s:d} s old")
def _full(context, age_s):
    oldest_ms = now_ms() - 1000 * age_s
    for number in range(MAX_TOMBSTONES):
        tombstone = Tombstone(
            workflow_id=f"{number:016x}",
            queue=QUEUE,
            made_ms=oldest_ms + number,
        )
        context.registry.tombstones.add(tombstone)
    assert ENDED_RETENTION_MS == 240_000


@given("a log entry with a tombstone and a workflow of the same identity")
def _same_identity(context):
    context.registry = WorkflowRegistry()
    context.registry.apply(
        LogEntry(
            commit_id="c",
            made_ms=1000,
            accepted=[make_workflow([Step(count=1, needs=NEEDS)])],
            tombstones=[
                Tombstone(workflow_id=NAME, queue=QUEUE, made_ms=1000)
            ],
        )
    )


@when("its snapshot is read as records of workflows")
def _read_records(context):
    data = pack(context.registry.snapshot_records())
    context.records = unpack(list[WorkflowRecord], data)


@then("the workflow is the last record of its identity")
def _workflow_last(context):
    assert context.records[-1].workflow.steps, context.records


@then("the tombstone is a cancelled workflow without steps")
def _tombstone_first(context):
    record = context.records[0]
    assert record.phase == WorkflowPhase.CANCELLED, record
    assert not record.workflow.steps, record
