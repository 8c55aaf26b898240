"""Steps for the clock by which a leader forgets."""

import functools
import types
from unittest import mock

import trio
from behave import given
from behave import then
from behave import when

from radishlanding.dispatch import EntryLog
from radishlanding.dispatch import retention_clock
from radishlanding.dispatch import wall_clock
from radishlanding.dispatch.retention_clock import RetentionClock
from radishlanding.workflow import Step
from tests.workflow.workflow_steps import make_workflow
from tests.workflow.workflow_steps import NAME
from tests.workflow.workflow_steps import NEEDS
from tests.workflow.workflow_steps import QUEUE

OTHER = "d" * 16
START_S = 1_800_000_000
# Time for an entry and the snapshot after it.
SETTLE_S = 0.3


def _submit(context, name):
    # Assigned tasks would keep the record of an ended workflow.
    step = Step(count=1, needs=NEEDS, label="nowhere")
    workflow = make_workflow([step], name=name)
    return context.bridge.call(
        functools.partial(context.leader.submit, workflow, request_id="r")
    )


def _cancel(context):
    return context.bridge.call(
        functools.partial(context.leader.cancel, NAME, QUEUE, request_id="r")
    )


@given("a cancelled workflow")
def _cancelled(context):
    _submit(context, NAME)
    assert _cancel(context).phase == "cancelled"


@given("an early cancellation")
def _early(context):
    assert _cancel(context).outcome == "absent"


@when("the wall clock steps by {step_s:d} s, and snapshots are made")
def _steps_in_leader(context, step_s):
    real = wall_clock.time.time
    stepped = types.SimpleNamespace(time=lambda: real() + step_s)
    with (
        mock.patch.object(wall_clock, "time", stepped),
        mock.patch.object(
            EntryLog, "needs_snapshot", autospec=True, return_value=True
        ),
    ):
        _submit(context, OTHER)
        context.bridge.call(trio.sleep, SETTLE_S)


@then("the caller of {what} gets {outcome:w}")
def _gets(context, what, outcome):
    answer = _submit(context, NAME)
    found = answer.phase or answer.outcome
    assert found == outcome, answer


def _at(wall_s, steady_s):
    """Return patches that set both clocks, in seconds."""
    return mock.patch.multiple(
        retention_clock,
        now_ms=lambda: 1000 * wall_s,
        boot_clock_s=lambda: steady_s,
    )


@given("a retention clock")
def _a_clock(context):
    context.made_ms = 1000 * START_S
    with _at(START_S, 50.0):
        context.clock = RetentionClock()


@given(
    "a retention clock of a log whose last entry was made {ahead_s:d} s ago"
)
def _clock_of_log(context, ahead_s):
    context.made_ms = 1000 * (START_S - ahead_s)
    with _at(START_S, 50.0):
        context.clock = RetentionClock(last_ms=context.made_ms)


@when("the wall clock steps by {step_s:d} s, and {passed_s:d} s pass")
def _steps(context, step_s, passed_s):
    context.after_ms = 1000 * (START_S + step_s)
    with _at(START_S + step_s, 50.0):
        context.clock.now_ms()
    with _at(START_S + step_s + passed_s, 50.0 + passed_s):
        context.now_ms = context.clock.now_ms()


@then("what was made before the step is {age_s:d} s old")
@then("what was made in that entry is {age_s:d} s old")
def _age_before(context, age_s):
    found = (context.now_ms - context.made_ms) / 1000
    assert found == age_s, found


@then("what was made after the step is {age_s:d} s old")
def _age_after(context, age_s):
    found = (context.now_ms - context.after_ms) / 1000
    assert found == age_s, found
