"""Steps about the clock of workflows that do not run."""

from behave import given
from behave import then
from behave import when

from radishlanding.policy import RunClock

KEY = "w"


@given("a clock of what runs, updated each {step_s:g} s")
def _clock(context, step_s):
    context.clock = RunClock()
    context.step_s = step_s
    context.now_s = 100.0
    context.clock.update({}, running=set(), now_s=context.now_s)


def _update(context, step_s, ages_s):
    context.now_s += step_s
    context.clock.update(ages_s, running=set(), now_s=context.now_s)


def _let_wait(context, length_s, times, pause_s):
    for _ in range(times):
        for count in range(1, int(length_s / context.step_s) + 1):
            _update(context, context.step_s, {KEY: count * context.step_s})
        for _ in range(int(pause_s / context.step_s)):
            _update(context, context.step_s, {})


@when(
    "an attempt waits for its start for {length_s:g} s, {times:d} times, "
    "with no pause"
)
def _waits(context, length_s, times):
    _let_wait(context, length_s, times, 0)


@when(
    "an attempt waits for its start for {length_s:g} s, {times:d} times, "
    "with a pause of {pause_s:g} s"
)
def _waits_with_pauses(context, length_s, times, pause_s):
    _let_wait(context, length_s, times, pause_s)


@when("an attempt is assigned {age_s:g} s before the next update")
def _assigned(context, age_s):
    _update(context, context.step_s, {KEY: age_s})


@when("it runs and ends before the next update, at which another one waits")
def _runs_between(context):
    context.clock.record_run(KEY)
    _update(context, context.step_s, {KEY: 0.1})


@when("the next update is {late_s:g} s late")
def _late(context, late_s):
    _update(context, late_s, {KEY: late_s + context.step_s})


@when("the workflow on the clock ends")
def _ends(context):
    context.clock.retain(lambda key: key != KEY)


@then("nothing has been known to run for {length_s:g} s")
def _stalled(context, length_s):
    stalled_s = context.clock.stalled_s()[KEY]
    assert abs(stalled_s - length_s) < 1e-6, stalled_s


@then("no time is held")
def _none_held(context):
    assert not context.clock.stalled_s(), context.clock.stalled_s()
