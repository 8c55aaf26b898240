"""Steps about the tickets of an advisor."""

import re

from behave import given
from behave import then
from behave import when

from radishlanding.policy import TicketCache

STEP = ("0" * 16, 0, 1)
NOW_S = 500.0


def _names(text):
    return [f"{name}/1" for name in re.findall(r"\b[a-d]\b", text)]


def _with_ticket(context):
    return [
        boot
        for boot in _names("a b c d")
        if context.permits.ticket(STEP, boot, now_s=context.now_s)
    ]


def _to_ask(context, boots):
    return context.permits.unasked_boots(STEP, boots, now_s=context.now_s)


@given("an advisor's answer on a, b and c that permits a and b for 20 s")
def _answer(context):
    context.now_s = NOW_S
    context.permits = TicketCache()
    context.permits.add(
        STEP,
        _names("a b c"),
        {boot: f"ticket-{boot}" for boot in _names("a b")},
        until_s=NOW_S + 20,
    )


@when("{passed_s:d} s have passed")
def _passed(context, passed_s):
    context.now_s += passed_s


@when("a refuses its ticket")
def _refuses(context):
    context.permits.invalidate(STEP, "a/1")


@when("a starts again")
def _again(context):
    context.boot = "a/2"


@then("{those} and c have none")
def _have(context, those):
    with_ticket = those.partition(" ha")[0]
    assert _with_ticket(context) == _names(with_ticket), _with_ticket(context)


@then("a and b have a ticket, and c has none")
def _two_have(context):
    assert _with_ticket(context) == _names("a b")


@then("nobody has a ticket")
def _nobody(context):
    assert _with_ticket(context) == []


@then("of a, b, c and d only {those} to be asked about")
def _asked(context, those):
    found = _to_ask(context, _names("a b c d"))
    assert found == _names(those), found


@then("the new boot of a has no ticket and is to be asked about")
def _new_boot(context):
    boot = context.boot
    assert not context.permits.ticket(STEP, boot, now_s=context.now_s)
    assert _to_ask(context, [boot]) == [boot]
