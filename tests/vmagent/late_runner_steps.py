"""Steps for orders to a worker that leaves calls unanswered for a while."""

import math
import random

import trio
from behave import given
from behave import then
from behave import when

from tests.standin.log_lines import captured_lines
from tests.vmagent.call_fate import CallFate
from tests.vmagent.late_runner import LateRunner
from tests.vmagent.order_executor_steps import open_agent
from tests.vmagent.order_executor_steps import order_attempts

# Longer than any scenario.
NEVER_S = 60.0
INDEX = 7


def _open(context, fate_of, **options):
    capture = captured_lines("radishlanding.vmagent")
    context.lines = capture.__enter__()
    context.add_cleanup(capture.__exit__, None, None, None)
    runner = LateRunner(
        nursery=context.bridge.nursery, fate_of=fate_of, **options
    )
    context.bridge.call(open_agent, context, runner)


def _lose_first(lost_call, count, delay_s):
    """Return a function that leaves the first calls of a kind unanswered."""

    def fate_of(call, number):
        if call == lost_call and number < count:
            return CallFate(delay_s=delay_s, is_answered=False)
        return CallFate()

    return fate_of


@given(
    "an agent whose worker carries out all calls 2 to 12 s late, unanswered"
)
def _all_late(context):
    rng = random.Random(1)

    def fate_of(_call, _number):
        return CallFate(delay_s=rng.uniform(2, 12), is_answered=False)

    _open(context, fate_of)


@given(
    "an agent whose worker carries out its first {count:d} starts {delay_s:g} "
    "s late, unanswered"
)
def _starts_late(context, count, delay_s):
    _open(context, _lose_first("run-start", count, delay_s))


@given(
    "an agent whose worker carries out its first stop {delay_s:g} s late, "
    "unanswered"
)
def _stop_late(context, delay_s):
    _open(context, _lose_first("run-stop", 1, delay_s))


@given(
    "an agent whose worker refuses starts for their token, and answers no stop"
)
def _refuses_starts(context):
    def fate_of(call, _number):
        if call == "run-start":
            return CallFate(refusal="fence")
        return CallFate(delay_s=NEVER_S, is_answered=False)

    _open(context, fate_of)


@given(
    "an agent whose worker carries out starts {start_s:g} s and stops "
    "{stop_s:g} s late, unanswered"
)
def _starts_and_stops_late(context, start_s, stop_s):
    def fate_of(call, _number):
        delay_s = start_s if call == "run-start" else stop_s
        return CallFate(delay_s=delay_s, is_answered=False)

    _open(context, fate_of)


@given(
    "an agent whose worker answers its first start after {delay_s:g} s, and "
    "has no room for the others"
)
def _first_slow(context, delay_s):
    def fate_of(call, number):
        if call != "run-start":
            return CallFate()
        return (
            CallFate(refusal="room") if number else CallFate(delay_s=delay_s)
        )

    _open(context, fate_of)


@given(
    "an agent whose worker, up for {age_s:g} s, carries out starts "
    "{delay_s:g} s late, unanswered"
)
def _old_starts_late(context, age_s, delay_s):
    fate_of = _lose_first("run-start", math.inf, delay_s)
    _open(context, fate_of, age_s=age_s)


@given("an agent whose worker, up for {age_s:g} s, answers no start or stop")
def _none_answered(context, age_s):
    def fate_of(_call, _number):
        return CallFate(delay_s=NEVER_S, is_answered=False)

    _open(context, fate_of, age_s=age_s)


async def _order(context):
    context.since_s = trio.current_time()
    order_attempts(context, [INDEX])


@when("one attempt is ordered")
def _ordered(context):
    context.bridge.call(_order, context)


@when("one attempt is ordered, and {delay_s:g} s later the worker restarts")
def _ordered_then_restarted(context, delay_s):
    async def order_and_restart():
        await _order(context)
        await trio.sleep(delay_s)
        context.since_s = trio.current_time()
        context.runner.boot()

    context.bridge.call(order_and_restart)


@when("its end is put on record, and the worker restarts")
def _settled_then_restarted(context):
    async def settle_and_restart():
        context.since_s = trio.current_time()
        context.supervisor.table.settle([(context.tasks[0], 1)])
        context.runner.boot()

    context.bridge.call(settle_and_restart)


@when("the worker answers stops again")
def _answers_stops(context):
    async def answer():
        context.since_s = trio.current_time()
        context.runner.fate_of = lambda _call, _number: CallFate()

    context.bridge.call(answer)


@when("the leader stops it")
def _leader_stops(context):
    async def stop():
        context.since_s = trio.current_time()
        context.supervisor.stop([(context.tasks[0], 1)])

    context.bridge.call(stop)


def _attempt(context):
    return context.supervisor.table.get(context.tasks[0], 1)


def _wait_until(context, check, wait_s):
    """Wait for a condition, until some seconds after the last event."""

    async def wait():
        while not check():
            took_s = trio.current_time() - context.since_s
            assert took_s < wait_s, (context.runner.arrivals, took_s)
            await trio.sleep(0.01)

    context.bridge.call(wait)


def _pass_time(context, wait_s):
    """Wait until some seconds after the last event."""

    async def wait():
        await trio.sleep_until(context.since_s + wait_s)

    context.bridge.call(wait)


@then("within {wait_s:g} s it is reported as {kind:w}")
def _reported(context, wait_s, kind):
    _wait_until(context, lambda: _attempt(context).end is not None, wait_s)
    assert _attempt(context).end == kind, _attempt(context)


@then("after {wait_s:g} s its outcome is uncertain")
def _uncertain(context, wait_s):
    _pass_time(context, wait_s)
    assert context.supervisor.table.has_uncertain()


@then("no outcome is uncertain")
def _none_uncertain(context):
    _wait_until(
        context, lambda: not context.supervisor.table.has_uncertain(), 2
    )


@then("the log says that its start was resolved to {outcome:w} by {by:w}")
def _resolved(context, outcome, by):
    found = [line for line in context.lines if "event=start_resolved" in line]
    assert len(found) == 1, found
    assert f" outcome={outcome} doubt_ms=" in found[0], found
    assert found[0].endswith(f" by={by}"), found
    assert f" vm={context.supervisor.vm} " in found[0], found


@then("a stop was sent")
def _stop_sent(context):
    assert context.runner.count_of("run-stop"), context.runner.arrivals


@then("after {wait_s:g} s it has not run")
def _has_not_run(context, wait_s):
    _pass_time(context, wait_s)
    assert not context.runner.ran, context.runner.ran


@then(
    "at most {count:d} calls are sent from {begin_s:g} to {end_s:g} s after "
    "its order"
)
def _few_calls(context, count, begin_s, end_s):
    _pass_time(context, begin_s)
    before = len(context.runner.arrivals)
    _pass_time(context, end_s)
    sent = len(context.runner.arrivals) - before
    assert sent <= count, (sent, context.runner.arrivals)


@then("within {wait_s:g} s it runs")
def _runs(context, wait_s):
    _wait_until(
        context, lambda: context.tasks[0] in context.runner.running, wait_s
    )


@then("after {wait_s:g} s it runs and was not stopped")
def _still_runs(context, wait_s):
    _pass_time(context, wait_s)
    assert _attempt(context).end is None, _attempt(context)
    assert not context.runner.count_of("run-stop"), context.runner.arrivals
    assert context.tasks[0] in context.runner.running


@then("after {wait_s:g} s no end of it is reported")
def _no_end(context, wait_s):
    _pass_time(context, wait_s)
    assert _attempt(context).end is None, _attempt(context)


@then("within {wait_s:g} s the worker has stopped it")
def _has_stopped(context, wait_s):
    _wait_until(
        context, lambda: context.tasks[0] not in context.runner.running, wait_s
    )
