"""Steps for the membership of a site."""

import trio
from behave import given
from behave import then
from behave import when

from radishlanding.membership import Member
from radishlanding.membership import MemberWatch
from radishlanding.membership import Registration
from radishlanding.observe import Counters
from radishlanding.store import StoreUnavailable
from tests.standin.open_store import open_store
from tests.standin.proxy import Proxy


def _member(name):
    return Member(
        kind="scheduler", process_id=name, zone="bole", address="127.0.0.1:1"
    )


@given("a registered scheduler")
def _registered(context):
    context.proxy = Proxy()
    context.standin, context.store = context.bridge.call(
        open_store, context.bridge, proxy=context.proxy
    )
    context.member_watch = MemberWatch(
        store=context.store, counters=Counters()
    )
    context.bridge.call(_register, context)


async def _register(context):
    context.registration = Registration(
        store=context.store,
        member=_member("s1"),
        member_watch=context.member_watch,
    )
    context.scope = trio.CancelScope()

    async def run():
        with context.scope:
            await context.registration.run()

    context.bridge.nursery.start_soon(run)
    await _until(context, lambda: context.member_watch.members, timeout_s=2.0)


async def _until(context, condition, *, timeout_s):
    with trio.fail_after(timeout_s):
        while True:
            await context.member_watch.refresh()
            if condition():
                return
            await trio.sleep(0.05)


@when("it stops renewing its lease")
def _stops_renewing(context):
    async def cancel():
        context.scope.cancel()

    context.bridge.call(cancel)


@then("it is no longer a member within 4 s")
def _is_removed(context):
    async def wait():
        await _until(
            context, lambda: not context.member_watch.members, timeout_s=4.0
        )

    context.bridge.call(wait)


@when("it has acquired shard 0")
def _has_acquired(context):
    assert context.bridge.call(context.registration.acquire_shard, 0)


@when("all leases of the store expire")
def _leases_expire(context):
    context.standin.expire_all_leases()


@when("the store loses its keys but not its lease")
def _keys_are_lost(context):
    context.bridge.call(context.member_watch.refresh)
    context.standin.restore({})
    context.bridge.call(context.member_watch.refresh)
    assert not context.member_watch.members


@then("within 2 s it is a member again and owns shard 0")
def _is_again(context):
    async def wait():
        await _until(
            context,
            lambda: (
                context.member_watch.members and context.member_watch.owners
            ),
            timeout_s=2.0,
        )

    context.bridge.call(wait)
    assert context.member_watch.owners[0].process_id == "s1"


async def _acquire_as_another(context):
    other = Registration(
        store=context.store,
        member=_member("s2"),
        member_watch=context.member_watch,
    )
    with trio.move_on_after(0.3):
        await other.run()
    return await other.acquire_shard(0)


@then("another member {can} acquire shard 0")
def _another_acquires(context, can):
    acquired = context.bridge.call(_acquire_as_another, context)
    assert acquired == (can == "can"), acquired


@when("it releases shard 0")
def _releases(context):
    context.bridge.call(context.registration.release_shard, 0)


@when("the members are read and the store becomes unavailable")
def _store_unavailable(context):
    context.bridge.call(context.member_watch.refresh)
    context.bridge.call(context.proxy.refuse)


@then("the members that were read are still known")
def _still_known(context):
    try:
        context.bridge.call(context.member_watch.refresh)
        raise AssertionError("the store answered")
    except StoreUnavailable:
        assert [item.process_id for item in context.member_watch.members] == [
            "s1"
        ]
