"""Steps for the pacing of best-effort tasks."""

import time

import trio
from behave import given
from behave import then
from behave import when

from radishlanding.message import ImageWeight
from radishlanding.message import TaskOrder
from radishlanding.message import TaskPrecedence
from radishlanding.policy.pace_controller import MAX_BUDGET_RAISE
from radishlanding.vm import Capacity
from tests.vmagent.fake_worker import FakeLeasedWorker
from tests.vmagent.worker_supervisor_steps import open_supervisor
from tests.vmagent.worker_supervisor_steps import REPORT

SERVING = "5" * 16 + ".0.0.0"
TARGET_MS = 100
CALM_MS = 20
EXCEEDING_MS = 300
# Lets the paces rise again after a change of the latency.
SETTLE_S = 1.5
IMAGE = "cruncher"
MILLICORES = 800
ORDINALS = ["first", "second"]


def _best_effort_id(number):
    return f"{number:016x}.0.0.0"


@given(
    "a supervisor whose worker runs a serving task and {count:d} best-effort "
    "ones"
)
def _runs(context, count):
    # Light tasks all run until a target is exceeded, and then all pause.
    _open(context, count, weight=0.0, is_light=True)


@given(
    "a supervisor whose worker runs a serving task and a heavy best-effort "
    "one of weight 0"
)
def _weightless(context):
    _open(context, 1, weight=0.0, is_light=False)


@given(
    "a supervisor whose worker reports no capacity and runs a serving task "
    "and a heavy best-effort one"
)
def _no_capacity(context):
    _open(context, 1, weight=1.0, is_light=False, capacity=Capacity())


def _open(context, count, *, weight, is_light, **options):
    worker = FakeLeasedWorker()
    context.best_effort = [
        _best_effort_id(number) for number in range(1, count + 1)
    ]
    for task in (SERVING, *context.best_effort):
        worker.running[(task, 1)] = ""
    worker.gauges[SERVING] = CALM_MS
    open_supervisor(context, worker, **options)
    orders = [_order(SERVING, latency_target_ms=TARGET_MS)]
    orders += [
        _order(task, fills=True, image=IMAGE, millicores=MILLICORES)
        for task in context.best_effort
    ]
    image = ImageWeight(image=IMAGE, weight=weight, is_light=is_light)
    context.bridge.call(_acknowledge, context.supervisor, orders, image)


async def _acknowledge(supervisor, orders, image):
    """Do what an acknowledgement of the leader does, and let it settle."""
    supervisor.pacer.update_weights([image])
    supervisor.table.attach_orders(orders)
    await trio.sleep(SETTLE_S)


def _order(task_id, **fields):
    return TaskOrder(
        task_id=task_id,
        attempt=1,
        spec="work",
        reserved=Capacity(),
        **fields,
    )


@given("pace calls for the first best-effort task get no answer")
def _unanswered(context):
    context.worker.unpaceable_task = context.best_effort[0]


@given(
    "the next pace call is carried out after {late_s:g} s, without an answer"
)
def _late(context, late_s):
    context.worker.late_pace_s = late_s


@when("the serving task exceeds its latency target {times:d} time")
@when("the serving task exceeds its latency target {times:d} times")
def _exceeds(context, times):
    context.delays = [
        context.bridge.call(_exceed_once, context.worker, context.best_effort)
        for _ in range(times)
    ]


async def _exceed_once(worker, best_effort):
    """Return the delay of each pause after the poll, in seconds, by task."""
    await trio.sleep(SETTLE_S)
    for task in best_effort:
        worker.paces[(task, 1)] = worker.paces.get((task, 1), 100)
    worker.gauges[SERVING] = EXCEEDING_MS
    polls = worker.polls
    with trio.fail_after(2):
        # The poll in flight is already counted, and reports the new latency.
        while worker.polls == polls:
            await trio.sleep(0.002)
    polled_s = time.monotonic()
    await trio.sleep(SETTLE_S / 2)
    delays = {
        task: worker.paces_at_s.get(task, float("inf")) - polled_s
        for task in best_effort
        if worker.paces[(task, 1)] == 0
    }
    worker.gauges[SERVING] = CALM_MS
    return delays


@when("the serving task exceeds its latency target for {exceeds_s:g} s")
def _exceeds_for(context, exceeds_s):
    context.worker.gauges[SERVING] = EXCEEDING_MS
    time.sleep(exceeds_s)


@when(
    "the serving task exceeds its latency target for {exceeds_s:g} s, and has "
    "no load for {idle_s:g} s"
)
def _exceeds_and_idles(context, exceeds_s, idle_s):
    _exceeds_for(context, exceeds_s)
    context.worker.gauges[SERVING] = 0
    time.sleep(idle_s)
    assert context.worker.paces_at_s, "nothing was paced"


@then("within {wait_s:g} s all best-effort tasks run at full pace")
def _all_run(context, wait_s):
    deadline_s = time.monotonic() + wait_s
    while True:
        paces = {
            task: context.worker.paces.get((task, 1), 100)
            for task in context.best_effort
        }
        if set(paces.values()) == {100}:
            return
        assert time.monotonic() < deadline_s, paces
        context.bridge.call(trio.sleep, 0.05)


@then(
    "the second best-effort task is reported with less work than the first, "
    "at a pace of 0 %"
)
def _reported_work(context):
    reports = {
        report.task_id: report
        for report in context.supervisor.running_reports()
    }
    first, second = (reports[task] for task in context.best_effort)
    # A pause that is not answered may not be in force.
    assert first.pace_percent == 100 and second.pace_percent == 0
    # The calls of the first one take a second of the two.
    assert first.full_pace_ms - second.full_pace_ms > 500, reports
    assert second.full_pace_ms > 0, reports


@then(
    "each time all best-effort tasks are paused within {max_s:g} s of the poll"
)
def _all_paused(context, max_s):
    _check(context, context.best_effort, max_s)


@then(
    "each time the other best-effort tasks are paused within {max_s:g} s of "
    "the poll"
)
def _others_paused(context, max_s):
    _check(context, context.best_effort[1:], max_s)


def _check(context, tasks, max_s):
    for delays in context.delays:
        late = [task for task in tasks if delays.get(task, 99) > max_s]
        assert not late, context.delays


@given(
    "a supervisor whose worker runs a serving task and {count:d} heavy "
    "best-effort ones, with headroom for one"
)
def _headroom_for_one(context, count):
    # Idle tasks have a budget of MAX_BUDGET_RAISE, which one of them takes.
    share = MILLICORES / REPORT.capacity.millicores
    _open(context, count, weight=MAX_BUDGET_RAISE / share, is_light=False)


@when("the leader ranks the second one first")
def _second_first(context):
    precedence = [
        TaskPrecedence(task_id=task_id, rank=rank)
        for rank, task_id in enumerate(reversed(context.best_effort))
    ]
    context.bridge.call(_rank, context.supervisor, precedence)


@when("it sends reports without ranks for {period_s:g} s")
def _no_ranks(context, period_s):
    deadline_s = time.monotonic() + period_s
    while time.monotonic() < deadline_s:
        context.bridge.call(_rank, context.supervisor, [])
        context.bridge.call(trio.sleep, 0.5)


async def _rank(supervisor, precedence):
    supervisor.pacer.update_precedence(precedence)


@then("within {wait_s:g} s only the {ordinal:w} one runs")
def _only_one_runs(context, wait_s, ordinal):
    running = context.best_effort[ORDINALS.index(ordinal)]
    wanted = {task: 100 * (task == running) for task in context.best_effort}
    deadline_s = time.monotonic() + wait_s
    while True:
        # The pace of a new task is 100 percent without an order.
        paces = {
            task: context.worker.paces.get((task, 1), 100)
            for task in context.best_effort
        }
        if paces == wanted:
            return
        assert time.monotonic() < deadline_s, paces
        context.bridge.call(trio.sleep, 0.05)


@then("the first one was paused before the second one ran")
def _paused_before(context):
    first, second = (
        context.worker.paces_at_s[task] for task in context.best_effort
    )
    assert first <= second, (first, second)


@when("the second one has just started")
def _has_started(context):
    context.bridge.call(_start, context.supervisor, context.best_effort[1])


async def _start(supervisor, task_id):
    await supervisor.pacer.apply_to(supervisor.table.get(task_id, 1))
