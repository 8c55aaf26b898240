"""Steps for the request executor of an agent."""

import functools

import trio
from behave import given
from behave import then
from behave import when

from radishlanding.agent.request_executor import RequestExecutor
from radishlanding.http import HttpServer
from radishlanding.message import AskRequest
from radishlanding.message import RunRequest
from radishlanding.observe import Counters
from radishlanding.request import AttemptRegistry
from radishlanding.target import Announcement
from radishlanding.target import TargetPool
from radishlanding.vm import Capacity
from radishlanding.vm import clock_ms
from radishlanding.vm import Ledger
from tests.standin.proxy import Proxy
from tests.standin.record import Record
from tests.standin.target import FakeTarget
from tests.standin.worker import FakeWorker

SERVICE_S = 1.0


class OpenGuard:
    """A guard that refuses nothing."""

    __slots__ = ()

    def refusal_reason(self, _message, *, now_ms):
        """Return no reason."""
        return ""


@given("a request executor with a target of 1 slot")
def _an_executor(context):
    context.record = Record()
    context.proxy = Proxy()
    context.opened_ms = clock_ms()
    context.bridge.call(_open_executor, context)


async def _open_executor(context):
    nursery = context.bridge.nursery
    capacity = Capacity(millicores=4000, memory_mb=4000)
    target = FakeTarget(
        vm="vm1",
        zone="bole",
        service="order-desk",
        record=context.record,
        worker=FakeWorker(
            vm="vm1", zone="bole", capacity=capacity, record=context.record
        ),
        slots=1,
    )
    target.service_s = SERVICE_S
    port = await nursery.start(
        functools.partial(
            HttpServer(handler=target).run, host="127.0.0.1", port=0
        )
    )
    context.proxy.upstream = f"127.0.0.1:{port}"
    await context.proxy.start(nursery)
    pool = TargetPool(ledger=Ledger(capacity=capacity))
    pool.register(
        Announcement(
            service="order-desk",
            address=context.proxy.address,
            slots=1,
            connections=4,
        )
    )
    context.executor = RequestExecutor(
        registry=AttemptRegistry(started_ms=context.opened_ms),
        pool=pool,
        guard=OpenGuard(),
        incarnation="me",
        counters=Counters(),
        nursery=nursery,
    )


def _run_message(key, timeout_s):
    return RunRequest(
        key=key,
        attempt=1,
        service="order-desk",
        idempotent=False,
        incarnation="me",
        clock_echo_ms=0,
        revision=1,
        timeout_ms=int(timeout_s * 1000),
        body=b"{}",
    )


async def _send(context, key, timeout_s):
    context.answer = await context.executor.run(_run_message(key, timeout_s))


@when("attempt 1 of {key} is sent and its connection is lost at once")
def _connection_is_lost(context, key):
    async def send():
        with trio.move_on_after(0.2):
            await _send(context, key, 5.0)

    context.bridge.call(send)


@when("attempt 1 of {key} is sent with a deadline of {timeout_s:g} s")
def _with_a_deadline(context, key, timeout_s):
    context.bridge.call(_send, context, key, timeout_s)


@when("attempt 1 of {key} is sent and the target is cut off")
def _target_is_cut_off(context, key):
    async def send():
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_send, context, key, 5.0)
            await trio.sleep(0.3)
            await context.proxy.cut()

    context.bridge.call(send)


@when("attempt 1 of {key} is sent twice at once")
def _sent_twice(context, key):
    async def send():
        async with trio.open_nursery() as nursery:
            for _ in range(2):
                nursery.start_soon(_send, context, key, 5.0)

    context.bridge.call(send)


@then("its answer is {outcome:w}")
def _its_answer(context, outcome):
    assert context.answer.outcome == outcome, context.answer


@then("a run of attempt 1 of {key} is refused")
def _run_is_refused(context, key):
    context.bridge.call(_send, context, key, 0.2)
    assert context.answer.outcome == "not_run", context.answer
    assert len(context.record.executions_of(key)) == 0


@then("asking for attempt 1 of {key} within {timeout_s:d} s gives {outcome:w}")
def _asking_gives(context, key, timeout_s, outcome):
    ask = AskRequest(
        key=key,
        attempt=1,
        incarnation="me",
        claimed_clock_ms=context.opened_ms,
        timeout_ms=timeout_s * 1000,
    )
    answer = context.bridge.call(context.executor.ask, ask)
    assert answer.outcome == outcome, answer


@then("{key} ran once")
def _key_ran_once(context, key):
    assert len(context.record.executions_of(key)) == 1


@then("{key} ran 0 times")
def _key_ran_never(context, key):
    assert not context.record.executions_of(key)
