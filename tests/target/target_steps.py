"""Steps for targets and their announcements."""

import json

import trio
from behave import given
from behave import then
from behave import when

from radishlanding.http import HttpError
from radishlanding.http import HttpRequest
from radishlanding.target import AnnouncementApi
from radishlanding.target import TargetPool
from radishlanding.vm import Capacity
from radishlanding.vm import Ledger


@given("the announcement API of a VM with {millicores:d} millicores")
def _announcement_api(context, millicores):
    context.ledger = Ledger(
        capacity=Capacity(millicores=millicores, memory_mb=8000)
    )
    context.bridge.call(_make_pool, context)


async def _make_pool(context):
    context.pool = TargetPool(ledger=context.ledger)
    context.announcement_api = AnnouncementApi(pool=context.pool)
    context.bridge.nursery.start_soon(context.pool.sweep)


@when("a target announces {change}")
def _announces(context, change):
    fields = {
        "service": "order-desk",
        "address": "127.0.0.1:9",
        "slots": 8,
        "connections": 64,
    }
    if change != "itself":
        key, _, value = change.partition(" = ")
        fields[key] = json.loads(value)
    req = HttpRequest(
        method="POST", target="/v1/targets", body=json.dumps(fields).encode()
    )
    try:
        response = context.bridge.call(context.announcement_api.respond, req)
        context.answer = (response.status, response.body.decode())
    except HttpError as exc:
        context.answer = (exc.status, exc.reason)


@then('the announcement is answered {status:d} with reason "{reason}"')
def _is_answered(context, status, reason):
    assert context.answer[0] == status, context.answer
    assert reason in context.answer[1], context.answer


@then("{count:d} slots can be acquired and no more")
def _slots_acquired(context, count):
    for _ in range(count):
        assert context.pool.acquire_slot("order-desk") is not None
    assert context.pool.acquire_slot("order-desk") is None


async def _until_removed(pool):
    with trio.fail_after(5.0):
        while pool.loads():
            await trio.sleep(0.05)


@then("within 5 s it is removed and 4000 millicores are free")
def _is_removed(context):
    context.bridge.call(_until_removed, context.pool)
    assert context.ledger.free().millicores == 4000
