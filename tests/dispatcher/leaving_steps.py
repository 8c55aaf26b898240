"""Steps about a dispatcher that is asked to stop."""

import json
import signal

import trio
from behave import given
from behave import then
from behave import when

from radishlanding.http import ExchangeFailed
from radishlanding.http import HttpClient
from tests.standin.platform_site import DEADLINE_S
from tests.standin.platform_site import HOST
from tests.standin.platform_site import PREFIX
from tests.standin.record import now_s

COME_S = 2.0
PAUSE_S = 0.1
STEPS = [{"count": 1, "cpu": 500, "memMb": 100, "estimatedMs": 300}]


@given("a platform site")
def _a_site(context):
    context.platform_site = context.bridge.open_platform_site()
    context.jobs = {}
    context.checks = []


@when("{which} is asked to stop, and for 2 s callers still come to it")
def _asked_to_stop(context, which):
    site = context.platform_site
    at = site.leader()
    if which != "the leader":
        at = (at + 1) % len(site.dispatchers)
    context.process = site.dispatchers[at]
    context.bridge.call(_stop_among_callers, context)


async def _stop_among_callers(context):
    context.asked_s = now_s()
    context.process.send(signal.SIGTERM)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_check, context)
        for number in range(1, int(COME_S / PAUSE_S) + 1):
            due_s = context.asked_s + number * PAUSE_S
            await trio.sleep(max(0.0, due_s - now_s()))
            nursery.start_soon(_come, context, f"{number:016x}")


async def _check(context):
    await trio.sleep(PAUSE_S)
    for _ in range(int(COME_S)):
        client = HttpClient(address=context.process.ports["ready"])
        answer = await client.send("GET", "/-/ready", timeout_s=DEADLINE_S)
        context.checks.append(answer.status)
        await client.close()
        await trio.sleep(0.9)


async def _come(context, name):
    """Hand a job in on a connection of its own."""
    client = HttpClient(address=context.process.ports["http"])
    try:
        answer = await client.send(
            "POST",
            PREFIX + name,
            body=json.dumps({"spec": "work", "steps": STEPS}).encode(),
            headers=[
                ("host", HOST),
                ("x-deadline-ms", str(int(DEADLINE_S * 1000))),
                ("request-id", name),
            ],
            timeout_s=DEADLINE_S,
        )
        context.jobs[name] = answer.status
        await client.close()
    except ExchangeFailed as exc:
        context.jobs[name] = str(exc)


@then("its readiness was refused from the first check on")
def _not_ready(context):
    assert context.checks == [503, 503], context.checks


@then("every job that came to it is answered 200")
def _all_answered(context):
    assert len(context.jobs) == int(COME_S / PAUSE_S), context.jobs
    assert set(context.jobs.values()) == {200}, context.jobs


@then("it ends with status 0 within {wait_s:g} s of being asked")
def _ends(context, wait_s):
    status = context.bridge.call(
        _wait_end, context.process, context.asked_s + wait_s
    )
    assert status == 0, status


async def _wait_end(process, until_s):
    with trio.fail_after(until_s - now_s()):
        return await process.popen.wait()


@then("each of the jobs is completed within {wait_s:g} s")
def _all_done(context, wait_s):
    context.bridge.call(_wait_done, context, wait_s)


async def _wait_done(context, wait_s):
    with trio.fail_after(wait_s):
        for name in context.jobs:
            while await context.platform_site.state(name) != "completed":
                await trio.sleep(PAUSE_S)
