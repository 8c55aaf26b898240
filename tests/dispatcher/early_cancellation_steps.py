"""Steps for cancellations that overtake their submissions."""

import trio
from behave import given
from behave import then
from behave import when

from radishlanding.http import ExchangeFailed
from radishlanding.http import HttpClient
from tests.dispatcher.faults import inject_fault
from tests.standin.platform_site import HOST
from tests.standin.platform_site import PREFIX

JOB = "5c0e7a21d94b36f8"
LEAVE_S = 0.3
# The whole freeze, with what happens meanwhile.
FREEZE_S = 4.0
BODY = (
    b'{"spec":"work","steps":[{"count":2,"cpu":500,"memMb":100,'
    b'"estimatedMs":300}]}'
)


@given("a platform site of {count:d} dispatchers")
def _a_site(context, count):
    context.platform_site = context.bridge.open_platform_site(
        dispatchers=count
    )
    leader = context.platform_site.leader()
    context.frozen = (leader + 1) % count
    context.other = (leader + 2) % count


@when("a submission waits at a front that is frozen")
def _waits(context):
    site = context.platform_site
    site.dispatchers[context.frozen].freeze()
    context.frozen_s = context.bridge.call(_now)
    context.caller_scope = trio.CancelScope()
    context.bridge.spawn(_submit, context)
    context.bridge.call(trio.sleep, LEAVE_S)


async def _now():
    return trio.current_time()


async def _submit(context):
    client = HttpClient(
        address=context.platform_site.dispatchers[context.frozen].ports["http"]
    )
    try:
        with context.caller_scope:
            await client.send(
                "POST",
                PREFIX + JOB,
                body=BODY,
                headers=[("host", HOST), ("x-deadline-ms", "3000")],
                timeout_s=2 * FREEZE_S,
            )
    finally:
        with trio.CancelScope(shield=True):
            await client.close()


@when("its caller {stays:w}, and cancels the job at another front")
def _cancels(context, stays):
    if stays == "leaves":
        context.bridge.call(_leave, context)
    response = context.bridge.call(
        _send, context, "DELETE", JOB, context.other
    )
    assert response.status == 410, response.status


async def _leave(context):
    context.caller_scope.cancel()


async def _send(context, method, path, index, body=None):
    return await context.platform_site.send_request(
        method, path, index=index, body=body
    )


@when("the platform site has this event: {event}")
def _event(context, event):
    context.bridge.call(_cause, context, event)


async def _cause(context, event):
    site = context.platform_site
    if event == "the other fronts are killed":
        others = [
            index
            for index in range(len(site.dispatchers))
            if index != context.frozen
        ]
        for index in others:
            await site.dispatchers[index].kill()
        for index in others:
            await site.start_dispatcher(index)
    else:
        await inject_fault(site, event)


async def _wake_up(context):
    await trio.sleep_until(context.frozen_s + FREEZE_S)
    context.platform_site.dispatchers[context.frozen].thaw()


@when("the frozen front wakes up")
def _wakes_up(context):
    context.bridge.call(_wake_up, context)


@then("no task of the job starts within {wait_s:d} s")
def _no_start(context, wait_s):
    context.bridge.call(trio.sleep, wait_s)
    found = [
        run.task
        for run in context.platform_site.record
        if run.task.startswith(f"{JOB}.")
    ]
    assert not found, found


@then("the frozen front has logged {event:w}")
def _has_logged(context, event):
    site = context.platform_site
    name = site.dispatchers[context.frozen].name
    text = (site.folder / f"{name}.log").read_text()
    assert f"event={event}" in text, text


@then("a retry of the submission is refused")
def _retry_refused(context):
    status = context.bridge.call(_retry, context)
    assert status == 503, status


async def _retry(context):
    status = 0
    with trio.fail_after(10):
        # 504 says nothing certain while no leader is known.
        while status in (0, 504):
            try:
                status = await context.platform_site.submit(
                    JOB, [{"count": 2}], index=context.other
                )
            except ExchangeFailed:
                status = 0
            await trio.sleep(0.1)
    return status
