"""Steps for targets that leave."""

import collections
import itertools

import trio
from behave import given
from behave import then
from behave import when

from tests.promises.faults import FAULTS
from tests.promises.process_faults import kill_agent
from tests.standin.plan import Plan
from tests.standin.record import now_s

MAX_DELAY_S = 5.0
OBSERVATION_S = 8.0
MIN_ANSWERED_SHARE = 0.9


async def _send_requests(site):
    async with trio.open_nursery() as nursery:
        for number in itertools.count():
            template = "plan-booking" if number % 5 == 0 else "stock-check"
            nursery.start_soon(_send_request, site, template, number)
            await trio.sleep(0.05)


async def _send_request(site, template, number):
    key = f"booking-{number}" if template == "plan-booking" else ""
    await site.request(template, {"n": number}, key=key, entry=number % 2)


@given("a site under stock checks and bookings")
def _a_site(context):
    context.site = context.bridge.open_site(Plan())
    context.bridge.spawn(_send_requests, context.site)
    context.bridge.call(trio.sleep, 1.0)


async def _make_leave(context, leaves, fault):
    site = context.site
    context.vm = next(iter(site.vms.values()))
    target = context.vm.target
    async with trio.open_nursery() as nursery:
        nursery.start_soon(FAULTS[fault], site)
        if leaves == "falls silent":
            target.is_silent = True
        else:
            target.is_leaving = True
            await target.announce_once()
        context.leaving_s = now_s()
    remaining_s = context.leaving_s + OBSERVATION_S - now_s()
    await trio.sleep(max(0.0, remaining_s))


@when("a target {leaves} while: {fault}")
def _a_target(context, leaves, fault):
    if fault == "agent killed":
        assert FAULTS[fault] is kill_agent
    context.bridge.call(_make_leave, context, leaves, fault)


@then("that target receives nothing more than 5 s later")
def _gets_nothing(context):
    late = [
        item
        for item in context.site.record.executions
        if item.vm == context.vm.name
        and item.started_s > context.leaving_s + MAX_DELAY_S
    ]
    assert not late, late


@then("other targets answered the requests meanwhile")
def _answered_by_others(context):
    outcomes = [answer["outcome"] for answer in context.site.answers]
    done = outcomes.count("done")
    reasons = collections.Counter(
        (answer["outcome"], answer["reason"])
        for answer in context.site.answers
    )
    assert done > MIN_ANSWERED_SHARE * len(outcomes), reasons
    findings = context.site.findings()
    assert not findings, findings
