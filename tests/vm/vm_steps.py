"""Steps for the ledger and the lease of a VM."""

from behave import given
from behave import then
from behave import when

from radishlanding.vm import Capacity
from radishlanding.vm import InsufficientCapacity
from radishlanding.vm import Ledger
from radishlanding.vm import VmLease


def _capacity(millicores, memory, accelerators):
    return Capacity(
        millicores=millicores, memory_mb=memory, accelerators=accelerators
    )


@given(
    "a VM of {cores:d} millicores, {memory:d} MB and {cards:d} accelerators"
)
def _a_vm(context, cores, memory, cards):
    context.ledger = Ledger(capacity=_capacity(cores, memory, cards))


def _allocate(context, cores, memory, cards, holder):
    try:
        context.ledger.allocate(
            holder=holder, needs=_capacity(cores, memory, cards)
        )
        context.was_allocated = True
    except InsufficientCapacity:
        context.was_allocated = False


@given(
    "{cores:d} millicores, {memory:d} MB and {cards:d} accelerators are "
    "allocated to {holder}"
)
@when(
    "{cores:d} millicores, {memory:d} MB and {cards:d} accelerators are "
    "requested for {holder}"
)
def _request(context, cores, memory, cards, holder):
    _allocate(context, cores, memory, cards, holder)


@when("{cores:d} millicores are adopted for {holder}")
def _adopted(context, cores, holder):
    context.ledger.adopt(holder=holder, needs=_capacity(cores, 0, 0))


@then("the capacity request is {answer:w}")
def _request_is(context, answer):
    assert context.was_allocated == (answer == "allocated")


@when("{holder} is released twice")
def _release_twice(context, holder):
    context.ledger.release(holder=holder)
    context.ledger.release(holder=holder)


@then("{cores:d} millicores are free")
def _are_free(context, cores):
    assert context.ledger.free().millicores == cores


@given("a VM lease of {duration:d} s")
def _a_lease(context, duration):
    context.now_s = 0.0
    context.lease = VmLease(duration_s=duration, clock=lambda: context.now_s)


@when("it is extended at {now:d} by a heartbeat sent at {sent:d}")
def _extended(context, now, sent):
    context.now_s = now
    context.lease.extend(sent_s=sent)


@then("the lease has {left:d} s left at {later:d}")
def _has_left(context, left, later):
    context.now_s = later
    assert context.lease.remaining_s() == left
