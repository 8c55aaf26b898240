"""Steps for the ledger and the lease of a VM."""

from behave import given
from behave import then
from behave import when

from radishlanding.vm import Capacity
from radishlanding.vm import InsufficientCapacity
from radishlanding.vm import Ledger
from radishlanding.vm import VmLease


def _capacity(millicores, memory_mb, accelerators):
    return Capacity(
        millicores=millicores, memory_mb=memory_mb, accelerators=accelerators
    )


@given(
    "a VM of {millicores:d} millicores, {memory_mb:d} MB and "
    "{accelerators:d} accelerators"
)
def _a_vm(context, millicores, memory_mb, accelerators):
    context.ledger = Ledger(
        capacity=_capacity(millicores, memory_mb, accelerators)
    )


def _allocate(context, millicores, memory_mb, accelerators, holder):
    try:
        context.ledger.allocate(
            holder=holder, needs=_capacity(millicores, memory_mb, accelerators)
        )
        context.was_allocated = True
    except InsufficientCapacity:
        context.was_allocated = False


@given(
    "{millicores:d} millicores, {memory_mb:d} MB and {accelerators:d} "
    "accelerators are allocated to {holder}"
)
@when(
    "{millicores:d} millicores, {memory_mb:d} MB and {accelerators:d} "
    "accelerators are requested for {holder}"
)
def _request(context, millicores, memory_mb, accelerators, holder):
    _allocate(context, millicores, memory_mb, accelerators, holder)


@when("{millicores:d} millicores are adopted for {holder}")
def _adopted(context, millicores, holder):
    context.ledger.adopt(holder=holder, needs=_capacity(millicores, 0, 0))


@then("the capacity request is {answer:w}")
def _request_is(context, answer):
    assert context.was_allocated == (answer == "allocated")


@when("{holder} is released twice")
def _release_twice(context, holder):
    context.ledger.release(holder=holder)
    context.ledger.release(holder=holder)


@then("{millicores:d} millicores are free")
def _are_free(context, millicores):
    assert context.ledger.free().millicores == millicores


@given("a VM lease of {duration_s:d} s")
def _a_lease(context, duration_s):
    context.now_s = 0.0
    context.lease = VmLease(duration_s=duration_s, clock=lambda: context.now_s)


@when("it is extended at {now_s:d} s by a heartbeat sent at {sent_s:d} s")
def _extended(context, now_s, sent_s):
    context.now_s = now_s
    context.lease.extend(sent_s=sent_s)


@then("the lease has {left_s:d} s left at {later_s:d} s")
def _has_left(context, left_s, later_s):
    context.now_s = later_s
    assert context.lease.remaining_s() == left_s
