"""Steps for the contract of the store."""

import trio
from behave import given
from behave import then
from behave import when

from radishlanding.etcd import EtcdStore
from radishlanding.observe import Counters
from radishlanding.store import CallBudget
from radishlanding.store import StoreUnavailable
from tests.standin.open_store import open_store
from tests.standin.proxy import Proxy
from tests.standin.record import now_s


@given("a store behind a proxy")
def _store_behind_a_proxy(context):
    context.proxy = Proxy()
    context.standin, context.store = context.bridge.call(
        open_store, context.bridge, proxy=context.proxy
    )


async def _perform(store, words):
    name, *args = words.split()
    match name:
        case "create":
            return await store.create(args[0], args[1].encode())
        case "get":
            kv = await store.get(args[0])
            return kv.value.decode() if kv else None
        case "swap" | "swap-stale":
            kv = await store.get(args[0])
            version = kv.version - (name == "swap-stale")
            return await store.swap(args[0], args[1].encode(), version=version)
        case "scan":
            return " ".join(kv.key for kv in await store.scan("/"))
        case "scan-from":
            kvs = await store.scan("/", start=args[0], limit=int(args[1]))
            return " ".join(kv.key for kv in kvs)
        case "delete":
            return await store.delete(args[0], args[1])


@then("the calls return")
def _calls_return(context):
    for row in context.table:
        words = row["call"].replace(" a", " /a").replace(" b", " /b")
        words = words.replace(" c", " /c")
        answer = context.bridge.call(_perform, context.store, words)
        found = str(answer).replace("/", "")
        assert found == row["answer"], (row["call"], found)


@when("a key is created under a lease of 1 s")
def _key_under_a_lease(context):
    async def create():
        context.lease = await context.store.grant(ttl_s=1)
        return await context.store.create("k", b"v", lease=context.lease)

    assert context.bridge.call(create)


@when("the lease is not kept alive for 1.5 s")
def _lease_not_kept(context):
    context.bridge.call(trio.sleep, 1.5)


@then("the key is deleted and the lease cannot be kept alive")
def _key_is_deleted(context):
    assert context.bridge.call(context.store.get, "k") is None
    assert not context.bridge.call(context.store.keep_alive, context.lease)


@when("the store is {fault}")
def _store_is(context, fault):
    if fault == "refusing":
        context.bridge.call(context.proxy.refuse)
    else:
        context.proxy.drops_responses = True


async def _failure_of(call, *args):
    started_s = now_s()
    try:
        await call(*args)
    except StoreUnavailable as exc:
        return exc, now_s() - started_s
    return None, now_s() - started_s


@then("a write fails within 2 s with was_sent = {sent}")
def _write_fails(context, sent):
    exc, took_s = context.bridge.call(
        _failure_of, context.store.create, "k", b"v"
    )
    assert exc is not None and took_s < 2, took_s
    assert str(exc.was_sent) == sent, exc


@then("after the fault the write {effect} taken effect")
def _after_the_fault(context, effect):
    context.proxy.heal()
    context.bridge.call(context.proxy.cut)
    kv = context.bridge.call(context.store.get, "k")
    assert (kv is not None) == (effect == "has"), kv


@when("open connections go silent")
def _open_connections_go_silent(context):
    context.bridge.call(context.store.get, "k")
    context.proxy.blackhole()


@then("the next read fails within 2 s")
def _next_read_fails(context):
    exc, took_s = context.bridge.call(_failure_of, context.store.get, "k")
    assert exc is not None and took_s < 2, took_s


@then("the read after it succeeds")
def _read_succeeds(context):
    assert context.bridge.call(context.store.get, "k") is None


async def _read_concurrently(store, count):
    failures = []

    async def read():
        exc, _ = await _failure_of(store.get, "k")
        if exc is not None:
            failures.append(exc)

    started_s = now_s()
    async with trio.open_nursery() as nursery:
        for _ in range(count):
            nursery.start_soon(read)
    return failures, now_s() - started_s


@when(
    "12 concurrent reads are made with a budget of 10 at once and 5 per second"
)
def _reads_with_a_budget(context):
    context.store = EtcdStore(
        address=context.proxy.address,
        budget=CallBudget(rate=5.0, burst=10.0),
        counters=Counters(),
    )
    failures, context.took_s = context.bridge.call(
        _read_concurrently, context.store, 12
    )
    assert not failures


@then("they take between 0.3 and 1.5 s")
def _they_take(context):
    assert 0.3 < context.took_s < 1.5, context.took_s


@then("of 30 more concurrent reads some fail without being sent")
def _some_more_fail(context):
    failures, _ = context.bridge.call(_read_concurrently, context.store, 30)
    assert 15 < len(failures) < 30, len(failures)
    assert not any(exc.was_sent for exc in failures)
