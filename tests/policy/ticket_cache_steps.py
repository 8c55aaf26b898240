"""Steps about an advisor's tickets."""

import re

from behave import given
from behave import then
from behave import when

from radishlanding.policy import TicketCache

STEP = ("0" * 16, 0, 1)
NOW_S = 500.0


def _boots(text):
    return [f"{name}/1" for name in re.findall(r"\b[a-d]\b", text)]


def _with_ticket(context):
    return [
        boot
        for boot in _boots("a b c d")
        if context.tickets.ticket(STEP, boot, now_s=context.now_s)
    ]


def _unasked(context, boots):
    return context.tickets.unasked_boots(STEP, boots, now_s=context.now_s)


@given("an advisor's answer on a, b and c that permits a and b for 20 s")
def _answer(context):
    context.now_s = NOW_S
    context.tickets = TicketCache()
    context.tickets.add(
        STEP,
        _boots("a b c"),
        {boot: f"ticket-{boot}" for boot in _boots("a b")},
        issued_s=NOW_S,
        valid_s=20.0,
    )


@when("{passed_s:d} s have passed")
def _time_passes(context, passed_s):
    context.now_s += passed_s


@when("a refuses its ticket")
def _refuse(context):
    context.tickets.invalidate(STEP, "a/1")


@when("a restarts")
def _restart(context):
    context.boot = "a/2"


@then("{those} and c have none")
def _have_tickets(context, those):
    with_ticket = those.partition(" ha")[0]
    assert _with_ticket(context) == _boots(with_ticket), _with_ticket(context)


@then("a and b have a ticket, and c has none")
def _two_have_tickets(context):
    assert _with_ticket(context) == _boots("a b")


@then("nobody has a ticket")
def _no_tickets(context):
    assert _with_ticket(context) == []


@then("of a, b, c and d only {those} to be asked about")
def _to_be_asked(context, those):
    found = _unasked(context, _boots("a b c d"))
    assert found == _boots(those), found


@then("the new boot of a has no ticket and is to be asked about")
def _new_boot(context):
    boot = context.boot
    assert not context.tickets.ticket(STEP, boot, now_s=context.now_s)
    assert _unasked(context, [boot]) == [boot]


@given("an advisor's answer that permits a for {valid_ms:d} ms")
def _short_answer(context, valid_ms):
    context.now_s = NOW_S
    context.tickets = TicketCache()
    context.tickets.add(
        STEP,
        _boots("a"),
        {"a/1": "ticket"},
        issued_s=NOW_S,
        valid_s=valid_ms / 1000,
    )


@then("a has a ticket until {used_ms:d} ms have passed, and none afterwards")
def _used_until(context, used_ms):
    for passed_ms, expected in ((0, True), (used_ms, True), (used_ms + 1, 0)):
        now_s = NOW_S + passed_ms / 1000 - 1e-6
        found = bool(context.tickets.ticket(STEP, "a/1", now_s=now_s))
        assert found == bool(expected), (passed_ms, found)
