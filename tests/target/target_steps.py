"""Steps about targets."""

import json

import trio
from behave import given
from behave import then
from behave import when

from radishlanding.http import HttpRequest
from radishlanding.http import Problem
from radishlanding.target import AnnouncementApi
from radishlanding.target import TargetPool
from radishlanding.vm import Capacity
from radishlanding.vm import Ledger


@given("an agent's announcements for a VM of {cores:d} millicores")
def _announcements(context, cores):
    context.ledger = Ledger(
        capacity=Capacity(millicores=cores, memory_mb=8000)
    )
    context.bridge.call(_make_pool, context)


async def _make_pool(context):
    context.pool = TargetPool(ledger=context.ledger)
    context.announcements = AnnouncementApi(pool=context.pool)
    context.bridge.nursery.start_soon(context.pool.sweep)


@when("a target announces {change}")
def _announces(context, change):
    said = {
        "service": "order-desk",
        "address": "127.0.0.1:9",
        "slots": 8,
        "connections": 64,
    }
    if change != "itself":
        key, _, value = change.partition(" = ")
        said[key] = json.loads(value)
    req = HttpRequest(
        method="POST", target="/v1/targets", body=json.dumps(said).encode()
    )
    try:
        response = context.bridge.call(context.announcements.respond, req)
        context.answer = (response.status, response.body.decode())
    except Problem as exc:
        context.answer = (exc.status, exc.reason)


@then('the announcement is answered {status:d} telling "{reason}"')
def _is_answered(context, status, reason):
    assert context.answer[0] == status, context.answer
    assert reason in context.answer[1], context.answer


@then("{count:d} requests find it and the next one does not")
def _requests_find_it(context, count):
    for _ in range(count):
        assert context.pool.acquire_slot("order-desk") is not None
    assert context.pool.acquire_slot("order-desk") is None


async def _until_gone(pool):
    with trio.fail_after(5.0):
        while pool.loads():
            await trio.sleep(0.05)


@then("within 5 s it is gone and 4000 millicores are free again")
def _is_gone(context):
    context.bridge.call(_until_gone, context.pool)
    assert context.ledger.free().millicores == 4000
