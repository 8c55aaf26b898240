"""Steps for which dispatcher leads a site."""

import trio
from behave import given
from behave import then
from behave import when

from tests.dispatcher.site_steps import JobSource

FIRST_CLAIM_TIMEOUT_S = 4.0


@given("a platform site of dispatchers with {shares} of a core")
def _unequal_site(context, shares):
    shares = [float(text) for text in shares.replace(" and", ",").split(",")]
    context.platform_site = context.bridge.open_platform_site(
        dispatchers=len(shares), cpu_shares=shares
    )


@when("jobs are submitted at a steady rate")
def _jobs(context):
    context.job_source = JobSource(context.platform_site)
    context.bridge.spawn(context.job_source.run)


@when("the dispatchers are restarted one by one in this order")
def _restarted_in_order(context):
    context.bridge.call(_restart_in_order, context.platform_site)


async def _restart_in_order(site):
    for process in site.dispatchers:
        await process.kill()
    await site.start_dispatcher(0)
    await _until_leads(site, FIRST_CLAIM_TIMEOUT_S, site.cpu_shares[0])
    for index in range(1, len(site.dispatchers)):
        await site.start_dispatcher(index)


@when("the leader is killed and not restarted")
def _killed(context):
    site = context.platform_site
    context.bridge.call(site.dispatchers[site.leader()].kill)


@then("within {wait_s:g} s the dispatcher with {share:g} of a core leads")
def _leads(context, wait_s, share):
    context.bridge.call(_until_leads, context.platform_site, wait_s, share)


async def _until_leads(site, wait_s, share):
    index = site.cpu_shares.index(share)
    with trio.fail_after(wait_s):
        while not site.dispatchers[index].is_running or site.leader() != index:
            await trio.sleep(0.05)
