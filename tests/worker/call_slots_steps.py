"""Steps for the calls that a worker has to answer at a time."""

import trio
from behave import given
from behave import then
from behave import when

from radishlanding.worker import CallSlots

HOLD_S = 0.2


@given("call slots for {slots:d} calls, of which {count:d} may be in flight")
def _slots(context, slots, count):
    async def make():
        context.slots = CallSlots(slots=slots, max_calls=count, hold_s=HOLD_S)

    context.bridge.call(make)


async def _acquire(context, count):
    with trio.fail_after(HOLD_S / 2):
        for _ in range(count):
            await context.slots.acquire()


@when("{count:d} calls are made")
def _made(context, count):
    context.bridge.call(_acquire, context, count)


@then("{count:d} calls are made at once")
def _made_at_once(context, count):
    context.bridge.call(_acquire, context, count)


@when("{count:d} calls are made, and one more waits for its turn")
def _made_and_waiting(context, count):
    context.has_turn = trio.Event()

    async def take_turn():
        await context.slots.acquire()
        context.has_turn.set()

    async def make():
        await _acquire(context, count)
        context.bridge.nursery.start_soon(take_turn)
        await trio.sleep(HOLD_S / 4)

    context.bridge.call(make)


async def _acquire_for_repeat(context):
    return context.slots.acquire_for_repeat()


@when("{count:d} repeats are made")
def _repeats_made(context, count):
    for _ in range(count):
        assert context.bridge.call(_acquire_for_repeat, context) is not None


@then("a repeat gets a slot")
def _repeat_has_slot(context):
    assert context.bridge.call(_acquire_for_repeat, context) is not None


@then("a repeat gets no slot")
def _repeat_has_none(context):
    assert context.bridge.call(_acquire_for_repeat, context) is None


@then("a repeat gets no slot before the waiting call")
def _turn_first(context):
    async def wait():
        found = None
        with trio.fail_after(1):
            while found is None and not context.has_turn.is_set():
                found = context.slots.acquire_for_repeat()
                await trio.sleep(0)
        return found

    assert context.bridge.call(wait) is None
