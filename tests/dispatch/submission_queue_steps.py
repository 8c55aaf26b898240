"""Steps for how submissions are divided into entries."""

import trio
import trio.testing
from behave import given
from behave import then
from behave import when

from radishlanding.dispatch.early_cancellations import EarlyCancellations
from radishlanding.dispatch.entry_room import EntryRoom
from radishlanding.dispatch.retention_clock import RetentionClock
from radishlanding.dispatch.submission_queue import SubmissionQueue
from radishlanding.observe import Counters
from radishlanding.workflow import Step
from radishlanding.workflow import WorkflowOutcome
from radishlanding.workflow import WorkflowRegistry
from tests.workflow.workflow_steps import make_workflow
from tests.workflow.workflow_steps import NEEDS


@given("a submission queue for entries of {size:d} bytes")
def _a_queue(context, size):
    registry = WorkflowRegistry()
    context.queue = SubmissionQueue(
        registry=registry,
        wake=lambda: None,
        max_entry_bytes=size,
        stored_size=len,
        counters=Counters(),
        early_cancellations=EarlyCancellations(
            registry=registry, clock=RetentionClock(), counters=Counters()
        ),
    )


@when("{count:d} workflows of {size:d} bytes each are submitted")
def _submitted(context, count, size):
    async def submit_all():
        async with trio.open_nursery() as nursery:
            for number in range(count):
                workflow = make_workflow(
                    [Step(count=1, needs=NEEDS)], name=f"{number:016x}"
                )
                workflow.spec = "s" * size
                nursery.start_soon(context.queue.submit, workflow)
                await trio.testing.wait_all_tasks_blocked()
            context.entries = []
            while accepted := context.queue.collect(EntryRoom())[0]:
                context.entries.append(accepted)
            nursery.cancel_scope.cancel()

    trio.run(submit_all)


@then("no entry takes more than {size:d} bytes of them")
def _bounded(context, size):
    for accepted in context.entries:
        taken = sum(len(workflow.spec) for workflow in accepted)
        assert taken <= size, taken


@then("the entries take all {count:d} of them, in the order of submission")
def _all(context, count):
    names = [w.workflow_id for entry in context.entries for w in entry]
    assert names == [f"{number:016x}" for number in range(count)], names


@then("each entry takes {count:d} of them")
def _each(context, count):
    assert [len(entry) for entry in context.entries] == [count] * 3


@when("a workflow with a gang of {count:d} tasks is submitted")
def _gang(context, count):
    step = Step(count=count, needs=NEEDS, gang=True)
    context.answer = trio.run(context.queue.submit, make_workflow([step]))


@then("it is refused, and no entry takes it")
def _is_refused(context):
    assert context.answer.outcome == WorkflowOutcome.REFUSED, context.answer
    assert context.queue.collect(EntryRoom()) == ([], [], [])
