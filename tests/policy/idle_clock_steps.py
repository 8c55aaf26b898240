"""Steps about the clock of waits."""

from behave import given
from behave import then
from behave import when

from radishlanding.policy.idle_clock import IdleClock
from radishlanding.vm import Capacity
from radishlanding.workflow import Assignment
from radishlanding.workflow import EndKind
from radishlanding.workflow import LogEntry
from radishlanding.workflow import Step
from radishlanding.workflow import TaskEnd
from radishlanding.workflow import WorkflowRegistry
from tests.workflow.workflow_steps import make_workflow
from tests.workflow.workflow_steps import NAME

START_MS = 1_000_000
TASK = f"{NAME}.0.0.0"


@given("a standing workflow of 2 tasks, of which VMs admit one")
def _standing(context):
    _accept(context, START_MS, count=2, standing=True)
    context.clock.update([context.record], now_ms=START_MS)
    context.now_ms = START_MS
    _assign(context, 1)


@given("a workflow that was accepted {age_s:d} s before a new leader")
def _accepted_before(context, age_s):
    context.now_ms = START_MS
    _accept(context, START_MS - age_s * 1000, count=1)


def _accept(context, accepted_ms, **fields):
    step = Step(needs=Capacity(millicores=1000, memory_mb=100), **fields)
    context.registry = WorkflowRegistry()
    workflow = make_workflow([step], accepted_ms=accepted_ms)
    _apply(context, accepted_ms, accepted=[workflow])
    context.record = context.registry.workflows[NAME]
    context.clock = IdleClock()


def _apply(context, made_ms, **changes):
    entry = LogEntry(commit_id="c", made_ms=made_ms, **changes)
    context.registry.apply(entry)


def _assign(context, attempt):
    item = Assignment(task_id=TASK, attempt=attempt, vm="vm1", boot="b")
    _apply(context, context.now_ms, assignments=[item])


def _end(context, attempt):
    end = TaskEnd(task_id=TASK, attempt=attempt, kind=EndKind.FAILED)
    _apply(context, context.now_ms, ends=[end])
    context.clock.restart([NAME], now_ms=context.now_ms)


@when(
    "that one ends and is placed again each {pause_s:g} s for {length_s:g} s"
)
def _ends_again(context, pause_s, length_s):
    for attempt in range(1, 1 + int(length_s / pause_s)):
        context.now_ms += int(pause_s * 1000)
        _end(context, attempt)
        context.clock.update([context.record], now_ms=context.now_ms)
        _assign(context, attempt + 1)


@when("an attempt of it ends before the first round")
def _ends_first(context):
    _assign(context, 1)
    _end(context, 1)
    context.clock.update([context.record], now_ms=context.now_ms)


@when("no workflow is open any more")
def _none_open(context):
    context.clock.restart([NAME], now_ms=context.now_ms)
    context.clock.retain(set())
    context.clock.update([], now_ms=context.now_ms)


@then("the workflow has been idle for {idle_s:d} s")
def _idle(context, idle_s):
    idle_ms = context.clock.idle_ms(NAME, now_ms=context.now_ms)
    assert idle_ms == idle_s * 1000, idle_ms


@then("nothing is held of it")
def _nothing_held(context):
    later_ms = context.now_ms + 5000
    context.clock.update([context.record], now_ms=later_ms)
    assert not context.clock.idle_ms(NAME, now_ms=later_ms)
