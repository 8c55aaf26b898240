"""Steps about how long serving tasks exceed their latency targets."""

from behave import given
from behave import then
from behave import when

from radishlanding.message import TaskOrder
from radishlanding.observe import Counters
from radishlanding.vm import Capacity
from radishlanding.vmagent.latency_monitor import LatencyMonitor
from radishlanding.vmagent.task_attempt import TaskAttempt
from tests.standin.log_lines import captured_lines

ROUND_S = 0.6


def make_task(name, **order):
    """Return a confirmed attempt of a known task."""
    return TaskAttempt(
        task_id=name,
        attempt=1,
        order=TaskOrder(
            task_id=name, attempt=1, spec="work", reserved=Capacity(), **order
        ),
        is_confirmed=True,
    )


@given(
    "a serving task with a target of {target_ms:d} ms and a filling task "
    "beside it"
)
def _tasks(context, target_ms):
    context.counters = Counters()
    context.watch = LatencyMonitor(vm="vm-1", counters=context.counters)
    context.serving = make_task("serves", latency_target_ms=target_ms)
    context.filling = make_task("fills", fills=True)


@when("its figure is {first:d} ms for {over_s:g} s, and then {last:d} ms")
def _figures(context, first, over_s, last):
    rounds = round(over_s / ROUND_S)
    with captured_lines("radishlanding.vmagent") as context.lines:
        for number in range(rounds + 1):
            context.serving.gauge = first if number < rounds else last
            context.watch.observe(
                [context.serving],
                [context.filling],
                unknown=0,
                now_s=100 + number * ROUND_S,
            )


@then("latency_exceeded is logged {notes:d} times, with what works beside it")
def _logged(context, notes):
    lines = [line for line in context.lines if "latency_exceeded" in line]
    assert len(lines) == notes, context.lines
    for line in lines:
        assert "task=serves" in line and "working=1" in line, line


@then("the histogram holds {count:d} stretch of at least {over_s:g} s")
def _histogram(context, count, over_s):
    histogram = context.counters.histograms.get("latency_exceeded")
    assert (histogram.count if histogram else 0) == count, histogram
    if histogram:
        assert histogram.sum_ms >= over_s * 1000 - 1, histogram.sum_ms
