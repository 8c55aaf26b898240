"""Steps about the paces that a seat sets."""

import time

import trio
from behave import given
from behave import then
from behave import when

from radishlanding.message import ImageWeight
from radishlanding.message import TaskOrder
from radishlanding.vm import Capacity
from tests.vmagent.fake_worker import FakeLeasedWorker
from tests.vmagent.worker_supervisor_steps import open_seat

SERVING = "5" * 16 + ".0.0.0"
TARGET_MS = 100
CALM_MS = 20
OVER_MS = 300
# Until paces that were raised and figures that fell have settled.
SETTLE_S = 1.5
IMAGE = "cruncher"
MILLICORES = 800


def _filling(number):
    return f"{number:016x}.0.0.0"


@given("a seat whose worker runs a serving task and {count:d} filling ones")
def _runs(context, count):
    # Light tasks all work until a target is exceeded, and then all stop.
    _open(context, count, weight=0.0, is_light=True)


@given(
    "a seat whose worker runs a serving task and a heavy filling one of "
    "weight 0"
)
def _weightless(context):
    _open(context, 1, weight=0.0, is_light=False)


@given(
    "a seat whose worker tells no capacity and runs a serving task and a "
    "heavy filling one"
)
def _no_capacity(context):
    _open(context, 1, weight=1.0, is_light=False, capacity=Capacity())


def _open(context, count, *, weight, is_light, **options):
    worker = FakeLeasedWorker()
    context.filling = [_filling(number) for number in range(1, count + 1)]
    for task in (SERVING, *context.filling):
        worker.running[(task, 1)] = ""
    worker.figures[SERVING] = CALM_MS
    open_seat(context, worker, **options)
    orders = [_order(SERVING, latency_target_ms=TARGET_MS)]
    orders += [
        _order(task, fills=True, image=IMAGE, millicores=MILLICORES)
        for task in context.filling
    ]
    known = ImageWeight(image=IMAGE, weight=weight, is_light=is_light)
    context.bridge.call(_learn, context.seat, orders, known)


async def _learn(seat, orders, known):
    seat.pace.learn([known])
    seat.table.take_orders(orders)
    await trio.sleep(SETTLE_S)


def _order(task_id, **fields):
    return TaskOrder(
        task_id=task_id,
        attempt=1,
        spec="work",
        reserved=Capacity(),
        **fields,
    )


@given("paces of the first filling task get no answer")
def _unanswered(context):
    context.worker.unpaced = context.filling[0]


@when("the serving task's figure goes over its target, {times:d} time")
@when("the serving task's figure goes over its target, {times:d} times")
def _over(context, times):
    context.delays = [
        context.bridge.call(_jump, context.worker, context.filling)
        for _ in range(times)
    ]


async def _jump(worker, filling):
    """Return after how long each pace came, in seconds from the look."""
    await trio.sleep(SETTLE_S)
    for task in filling:
        worker.paces[(task, 1)] = worker.paces.get((task, 1), 100)
    worker.figures[SERVING] = OVER_MS
    looks = worker.looks
    with trio.fail_after(2):
        # The look that waits now has been counted, and brings the figure.
        while worker.looks == looks:
            await trio.sleep(0.002)
    looked_s = time.monotonic()
    await trio.sleep(SETTLE_S / 2)
    delays = {
        task: worker.paces_at_s.get(task, float("inf")) - looked_s
        for task in filling
        if worker.paces[(task, 1)] == 0
    }
    worker.figures[SERVING] = CALM_MS
    return delays


@then(
    "each time all filling tasks are stopped within {most_s:g} s of the look"
)
def _all_stopped(context, most_s):
    _check(context, context.filling, most_s)


@then(
    "each time the other filling tasks are stopped within {most_s:g} s of "
    "the look"
)
def _others_stopped(context, most_s):
    _check(context, context.filling[1:], most_s)


def _check(context, tasks, most_s):
    for delays in context.delays:
        late = [task for task in tasks if delays.get(task, 99) > most_s]
        assert not late, context.delays
