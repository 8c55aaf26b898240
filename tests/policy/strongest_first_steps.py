"""Steps about which dispatcher should lead."""

from behave import given
from behave import then

from radishlanding.policy import StrongestFirst


@given("a process of {own:d} millicores among others of {others}")
def _among(context, own, others):
    context.own = own
    if others == "nobody":
        context.others = []
    else:
        context.others = [int(text) for text in others.split(",")]


@then("it waits {pause_s:g} s before it claims")
def _waits(context, pause_s):
    found_s = StrongestFirst().claim_delay_s(context.own, context.others)
    assert abs(found_s - pause_s) < 1e-9, found_s


@then("as a leader it {hands}")
def _as_leader(context, hands):
    found = StrongestFirst().should_step_down(context.own, context.others)
    assert found == {"leads on": False, "makes room": True}[hands], found


@given("a VM of {millicores:d} millicores with a link of {mbps:d} Mbit/s")
def _a_vm(context, millicores, mbps):
    context.strength = StrongestFirst().strength(
        millicores=millicores, link_mbps=mbps
    )


@then("its strength is {strength:d}")
def _strength_is(context, strength):
    assert context.strength == strength, context.strength
