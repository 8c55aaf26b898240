"""Steps for the HTTP API of an entry."""

import collections
import functools

import trio
from behave import given
from behave import then
from behave import when

from radishlanding.http import HttpClient
from tests.standin.plan import Plan


@given("a small site")
def _small_site(context):
    context.site = context.bridge.open_site(Plan(vms_per_zone=1))


@given("a small site with all targets leaving")
def _leaving_site(context):
    _small_site(context)
    for vm in context.site.vms.values():
        vm.target.is_leaving = True
        context.bridge.call(vm.target.announce_once)
    context.bridge.call(trio.sleep, 0.3)


@given("a small site with a quota of 2 requests for abay-reef")
def _site_with_quota(context):
    _small_site(context)
    document = context.site.plan.document()
    document["organisations"]["abay-reef"]["requests"] = 2
    call = functools.partial(
        context.site.call,
        "PUT",
        "/v1/config",
        {"document": document, "expected": 1},
    )
    assert context.bridge.call(call)[0] == 200


async def _send(site, call, body):
    method, path = call.split()
    client = HttpClient(address=site.entry_vms[0].http.address)
    response = await client.send(
        method, path, body=body.encode(), timeout_s=10.0
    )
    await client.close()
    return response


@then("the entry answers")
def _entry_answers(context):
    for row in context.table:
        response = context.bridge.call(
            _send, context.site, row["call"], row["body"]
        )
        text = response.body.decode()
        assert response.status == int(row["status"]), (row["call"], text)
        for part in row["contains"].split("|"):
            assert part.strip() in text, (row["call"], text)


@when("mulu takes zone bole out of service")
def _zone_out(context):
    context.document = context.site.plan.document()
    call = functools.partial(
        context.site.call, "POST", "/v1/zones/bole/out", {"author": "mulu"}
    )
    assert context.bridge.call(call)[0] == 200


@then(
    "an apply based on the old revision is refused, naming mulu and the zone"
)
def _stale_apply_refused(context):
    call = functools.partial(
        context.site.call,
        "PUT",
        "/v1/config",
        {"document": context.document, "expected": 1},
        entry=1,
    )
    status, answer = context.bridge.call(call)
    assert status == 409, answer
    assert answer["author"] == "mulu", answer
    assert answer["differs"] == [["zones.bole.in_service", False, True]]


def _book(context, body, key, **options):
    send = functools.partial(
        context.site.request, "plan-booking", body, key=key, **options
    )
    return context.bridge.call(send)


@when("a booking is sent with key k")
def _booking(context):
    assert _book(context, {"n": 1}, "k")["outcome"] == "done"


@then(
    "another body with key k is answered unknown, with reason "
    '"another request"'
)
def _another_body(context):
    answer = _book(context, {"n": 2}, "k")
    assert answer["outcome"] == "unknown", answer
    assert "another request" in answer["reason"], answer


@then("the same body with key k through the other entry is answered done")
def _same_body(context):
    assert _book(context, {"n": 1}, "k", entry=1)["outcome"] == "done"


@then("key k was executed once")
def _ran_once(context):
    assert len(context.site.record.executions_of("k")) == 1


@then("a stock check is answered not_run")
def _check_not_run(context):
    send = functools.partial(context.site.request, "stock-check", {"n": 1})
    answer = context.bridge.call(send)
    assert answer["outcome"] == "not_run", answer
    assert not context.site.findings()


@then("a booking with a new key is answered not_run")
def _booking_not_run(context):
    answer = _book(context, {"n": 1}, "own", timeout_s=15.0)
    assert answer["outcome"] == "not_run", answer
    assert not context.site.findings()


async def _send_many(site, count):
    async with trio.open_nursery() as nursery:
        for _ in range(count):
            nursery.start_soon(site.request, "stock-check", {"service_s": 1.0})


@when("8 slow stock checks are sent concurrently")
def _slow_checks(context):
    context.bridge.call(_send_many, context.site, 8)


@then("2 are done and 6 are answered 429 not_run")
def _are_shed(context):
    counts = collections.Counter(
        (answer["http_status"], answer["outcome"])
        for answer in context.site.answers
    )
    assert counts == {(200, "done"): 2, (429, "not_run"): 6}, counts


@when("an entry is restarted while it cannot reach the store")
def _restarted_without_store(context):
    entry_vm = context.site.entry_vms[0]
    context.bridge.call(entry_vm.entry.kill)
    context.bridge.call(entry_vm.entry_store.refuse)
    context.bridge.call(context.site.start_entry, entry_vm)


@when("the entry can reach the store again")
def _store_reachable(context):
    context.site.entry_vms[0].entry_store.heal()


def _status_and_outcome(answer):
    return f"{answer['http_status']} {answer['outcome']}"


@then("a stock check through it is answered {expected} within 5 s")
def _check_within(context, expected):
    context.bridge.call(_until_answered, context.site, expected)


async def _until_answered(site, expected):
    with trio.fail_after(5.0):
        while (
            _status_and_outcome(await site.request("stock-check", {"n": 2}))
            != expected
        ):
            await trio.sleep(0.1)


@then("a stock check through it is answered 503 not_run")
def _check_without_config(context):
    send = functools.partial(context.site.request, "stock-check", {"n": 1})
    answer = context.bridge.call(send)
    assert answer["http_status"] == 503, answer
    assert answer["outcome"] == "not_run", answer


@then("a booking with a key through it is answered 503 unknown")
def _booking_without_config(context):
    answer = _book(context, {"n": 1}, "early")
    assert answer["http_status"] == 503, answer
    assert answer["outcome"] == "unknown", answer


@then("a job through it is answered 503 unknown")
def _job_without_config(context):
    submit = functools.partial(context.site.submit, "early", "shipment-plan")
    status, answer = context.bridge.call(submit)
    assert status == 503, answer
    assert answer["outcome"] == "unknown", answer
