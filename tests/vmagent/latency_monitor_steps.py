"""Steps for violations of latency targets."""

from behave import given
from behave import then
from behave import when

from radishlanding.message import TaskOrder
from radishlanding.observe import Counters
from radishlanding.vm import Capacity
from radishlanding.vmagent.latency_monitor import LatencyMonitor
from radishlanding.vmagent.task_attempt import TaskAttempt
from tests.standin.log_lines import captured_lines

FIGURE_INTERVAL_S = 0.6


def make_task(name, **order):
    """Return a confirmed attempt with an order.

    :param name: Name of the task.
    :param order: Further fields of its :class:`TaskOrder`.
    """
    return TaskAttempt(
        task_id=name,
        attempt=1,
        order=TaskOrder(
            task_id=name, attempt=1, spec="work", reserved=Capacity(), **order
        ),
        is_confirmed=True,
    )


@given(
    "a serving task with a target of {target_ms:d} ms and a best-effort task"
)
def _tasks(context, target_ms):
    context.counters = Counters()
    context.monitor = LatencyMonitor(vm="vm-1", counters=context.counters)
    context.serving = make_task("serves", latency_target_ms=target_ms)
    context.best_effort = make_task("fills", fills=True)


@when("its latency is {first:d} ms for {over_s:g} s, and then {last:d} ms")
def _latencies(context, first, over_s, last):
    count = round(over_s / FIGURE_INTERVAL_S)
    with captured_lines("radishlanding.vmagent") as context.lines:
        for number in range(count + 1):
            context.serving.gauge = first if number < count else last
            context.monitor.observe(
                [context.serving],
                [context.best_effort],
                unknown=0,
                now_s=100 + number * FIGURE_INTERVAL_S,
            )


@then(
    "latency_exceeded is logged {count:d} times, with the number of working "
    "tasks"
)
def _logged(context, count):
    lines = [line for line in context.lines if "latency_exceeded" in line]
    assert len(lines) == count, context.lines
    for line in lines:
        assert "task=serves" in line and "working=1" in line, line


@then("the histogram holds {count:d} violations of at least {over_s:g} s")
def _histogram(context, count, over_s):
    histogram = context.counters.histograms.get("latency_exceeded")
    assert (histogram.count if histogram else 0) == count, histogram
    if histogram:
        assert histogram.sum_ms >= over_s * 1000 - 1, histogram.sum_ms
