"""Steps about ledger and lease."""

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


def _take(context, cores, memory, cards, holder):
    try:
        context.ledger.allocate(
            holder=holder, needs=_capacity(cores, memory, cards)
        )
        context.was_given = True
    except InsufficientCapacity:
        context.was_given = False


@given(
    "{cores:d} millicores, {memory:d} MB and {cards:d} accelerators are "
    "given to {holder}"
)
@when(
    "{cores:d} millicores, {memory:d} MB and {cards:d} accelerators are "
    "asked for {holder}"
)
def _asked_for(context, cores, memory, cards, holder):
    _take(context, cores, memory, cards, holder)


@when("{cores:d} millicores are adopted for {holder}")
def _adopted(context, cores, holder):
    context.ledger.adopt(holder=holder, needs=_capacity(cores, 0, 0))


@then("it is {answer:w}")
def _it_is(context, answer):
    assert context.was_given == (answer == "given")


@when("{holder} gives it back twice")
def _gives_back(context, holder):
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


@then("{left:d} s are left at {later:d}")
def _are_left(context, left, later):
    context.now_s = later
    assert context.lease.remaining_s() == left
