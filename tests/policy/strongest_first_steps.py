"""Steps about the preference for strong leaders."""

from behave import given
from behave import then

from radishlanding.policy import StrongestFirst


@given("a process of {own:d} millicores among others of {others}")
def _process(context, own, others):
    context.own = own
    if others == "nobody":
        context.others = []
    else:
        context.others = [int(text) for text in others.split(",")]


@then("it waits {delay_s:g} s before it claims")
def _claim_delay(context, delay_s):
    found_s = StrongestFirst().claim_delay_s(context.own, context.others)
    assert abs(found_s - delay_s) < 1e-9, found_s


@then("as the leader it {action}")
def _as_leader(context, action):
    found = StrongestFirst().should_step_down(context.own, context.others)
    assert found == {"stays": False, "steps down": True}[action], found


@given("a VM of {millicores:d} millicores with a link of {mbps:d} Mbit/s")
def _vm(context, millicores, mbps):
    context.strength = StrongestFirst().strength(
        millicores=millicores, link_mbps=mbps
    )


@then("its strength is {strength:d}")
def _strength(context, strength):
    assert context.strength == strength, context.strength
