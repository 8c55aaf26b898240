"""Steps about workflows whose assigned attempts do not run."""

from behave import given
from behave import then
from behave import when

from radishlanding.policy import Stall
from radishlanding.policy.stalled_workflows import StalledWorkflows

NAME = "0123456789abcdef"
START_MS = 1_000_000


@given("a workflow that has waited {wait_s:g} s for attempts on {vm}")
def _waits(context, wait_s, vm):
    context.now_ms = START_MS
    context.stalled = StalledWorkflows()
    context.stalls = {
        NAME: Stall(stalled_ms=int(wait_s * 1000), vms=frozenset({vm}))
    }
    context.stalled.update(context.stalls, now_ms=context.now_ms)
    assert _is_stalled(context)


def _is_stalled(context):
    return context.stalled.is_stalled(NAME, now_ms=context.now_ms)


@when("a task of it is placed")
def _place(context):
    context.stalled.record_placed(NAME, now_ms=context.now_ms)
    context.stalled.update(context.stalls, now_ms=context.now_ms)


@when("a task of it is placed, and the clock is set back by {back_s:d} s")
def _place_and_set_back(context, back_s):
    _place(context)
    context.now_ms -= back_s * 1000


@then("it is stalled")
def _stalled(context):
    assert _is_stalled(context)


@then("it is stalled again {wait_s:g} s later, and not before")
def _stalled_later(context, wait_s):
    placed_ms = context.now_ms
    due_ms = placed_ms + int(wait_s * 1000)
    for context.now_ms in range(placed_ms, due_ms, 100):
        assert not _is_stalled(context), context.now_ms
    context.now_ms = due_ms
    assert _is_stalled(context)


@then("it avoids {vm:w}")
def _avoids(context, vm):
    assert context.stalled.avoided_vms(NAME) == {vm}


@then("it avoids no VM")
def _avoids_none(context):
    assert not context.stalled.avoided_vms(NAME)


@when("its attempts on vm1 have ended")
def _have_ended(context):
    context.now_ms += 1000
    context.stalled.update({}, now_ms=context.now_ms)


@when("no attempt has waited for {pass_s:d} s")
def _pass(context, pass_s):
    context.now_ms += pass_s * 1000
    context.stalled.update({}, now_ms=context.now_ms)
