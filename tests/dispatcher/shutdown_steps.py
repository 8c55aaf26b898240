"""Steps for the graceful shutdown of a dispatcher."""

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

SUBMIT_FOR_S = 2.0
INTERVAL_S = 0.1
STEPS = [{"count": 1, "cpu": 500, "memMb": 100, "estimatedMs": 300}]


@given("a platform site")
def _a_site(context):
    context.platform_site = context.bridge.open_platform_site()
    context.jobs = {}
    context.checks = []


@when("{which} is stopped, and submissions still arrive at it for 2 s")
def _stopped(context, which):
    site = context.platform_site
    index = site.leader()
    if which != "the leader":
        index = (index + 1) % len(site.dispatchers)
    context.process = site.dispatchers[index]
    context.bridge.call(_stop_under_load, context)


async def _stop_under_load(context):
    context.stopped_s = now_s()
    context.process.send(signal.SIGTERM)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_check_readiness, context)
        for number in range(1, int(SUBMIT_FOR_S / INTERVAL_S) + 1):
            due_s = context.stopped_s + number * INTERVAL_S
            await trio.sleep(max(0.0, due_s - now_s()))
            nursery.start_soon(_submit, context, f"{number:016x}")


async def _check_readiness(context):
    await trio.sleep(INTERVAL_S)
    for _ in range(int(SUBMIT_FOR_S)):
        client = HttpClient(address=context.process.ports["ready"])
        answer = await client.send("GET", "/-/ready", timeout_s=DEADLINE_S)
        context.checks.append(answer.status)
        await client.close()
        await trio.sleep(0.9)


async def _submit(context, name):
    """Submit a job on a connection of its own."""
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


@then("every readiness check fails")
def _not_ready(context):
    assert context.checks == [503, 503], context.checks


@then("every submission to it is answered 200")
def _all_answered(context):
    assert len(context.jobs) == int(SUBMIT_FOR_S / INTERVAL_S), context.jobs
    assert set(context.jobs.values()) == {200}, context.jobs


@then("it exits with status 0 within {wait_s:g} s of the signal")
def _exits(context, wait_s):
    status = context.bridge.call(
        _wait_exit, context.process, context.stopped_s + wait_s
    )
    assert status == 0, status


async def _wait_exit(process, until_s):
    with trio.fail_after(until_s - now_s()):
        return await process.popen.wait()


@then("each submitted job is completed within {wait_s:g} s")
def _all_done(context, wait_s):
    context.bridge.call(_wait_done, context, wait_s)


async def _wait_done(context, wait_s):
    with trio.fail_after(wait_s):
        for name in context.jobs:
            while await context.platform_site.state(name) != "completed":
                await trio.sleep(INTERVAL_S)
