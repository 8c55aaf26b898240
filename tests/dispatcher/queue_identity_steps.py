"""Steps for queues whose callers choose the same identity."""

import trio
from behave import given
from behave import then
from behave import when

JOB = "00000000000000a1"
OTHER_JOB = "00000000000000a2"
BILLS = "/bills/"
BODY = {
    "spec": "work",
    "steps": [{"count": 2, "cpu": 500, "memMb": 100, "estimatedMs": 300}],
}
CONFIG_TIMEOUT_S = 5.0


@given("a platform site with the queues jobs and bills")
def _a_site(context):
    context.platform_site = context.bridge.open_platform_site()
    context.bridge.call(_add_queue, context)


def _send(context, method, path, **fields):
    return context.bridge.call(_send_request, context, method, path, fields)


async def _send_request(context, method, path, fields):
    response = await context.platform_site.send_request(method, path, **fields)
    assert response is not None, (method, path)
    return response


async def _add_queue(context):
    context.platform_site.set_config(
        others=[{"name": "bills", "prefix": BILLS, "priority": 2}]
    )
    with trio.fail_after(CONFIG_TIMEOUT_S):
        for index in range(len(context.platform_site.dispatchers)):
            fields = {"prefix": BILLS, "index": index}
            while True:
                response = await _send_request(context, "GET", "", fields)
                if response.status == 200:
                    break
                await trio.sleep(0.05)


@when("a job is accepted by queue jobs")
def _accepted(context):
    response = _send(context, "POST", JOB, body=BODY)
    assert response.status == 200, response


@then("the same identity is refused by queue bills, with a reason")
def _refused(context):
    for index in range(len(context.platform_site.dispatchers)):
        response = _send(
            context, "POST", JOB, body=BODY, prefix=BILLS, index=index
        )
        assert response.status == 503, response
        found = response.json()
        assert found == {"error": "another queue uses this identity"}, found


@then("queue bills answers its state and its cancellation with 410")
def _absent(context):
    for method in ("GET", "DELETE"):
        response = _send(context, method, JOB, prefix=BILLS)
        assert response.status == 410, (method, response)


@then("the job of queue jobs is completed")
def _completed(context):
    context.bridge.call(_wait_completed, context, JOB)


async def _wait_completed(context, name):
    site = context.platform_site
    await site.wait_state(name, "completed", timeout_s=10)
    done = {run.task for run in site.record if run.end_kind == "done"}
    assert {f"{name}.0.0.{index}" for index in range(2)} <= done, done


@then("queue bills accepts the job under another identity")
def _accepts_other(context):
    response = _send(context, "POST", OTHER_JOB, body=BODY, prefix=BILLS)
    assert response.status == 200, response
    state = _send(context, "GET", OTHER_JOB, prefix=BILLS).json()["state"]
    assert state in ("queued", "running", "completed"), state
