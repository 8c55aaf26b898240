"""Steps for planned stops."""

from behave import given
from behave import then
from behave import when

from tests.promises.process_faults import owner_entry_vm
from tests.standin.plan import Plan

REQUESTS = 12
SERVICE_S = 1.5
TASKS = 8


@given("a site with running tasks and slow requests in flight")
def _a_site(context):
    plan = Plan()
    context.site = context.bridge.open_site(plan)
    context.bridge.call(_start_work, context)


async def _start_work(context):
    site = context.site
    await site.submit("run", "shipment-plan", tasks=TASKS, work_s=25.0)
    await site.wait_for_running(TASKS, timeout_s=10.0)
    context.in_flight = []
    for index in range(REQUESTS):
        context.bridge.nursery.start_soon(_send_request, context, index)
    await site.wait_until(
        lambda: len(site.record.executions) == REQUESTS,
        timeout_s=5.0,
        description="all requests are at their targets",
    )


async def _send_request(context, index):
    template = "plan-booking" if index % 3 == 0 else "stock-check"
    answer = await context.site.request(
        template,
        {"n": index, "service_s": SERVICE_S},
        key=f"b{index}" if template == "plan-booking" else "",
        entry=index % 2,
    )
    context.in_flight.append(answer)


def _processes_to_stop(site, what):
    """Return processes with the function and argument that start them."""
    owner = owner_entry_vm(site)
    others = [entry_vm for entry_vm in site.entry_vms if entry_vm is not owner]
    entries = [
        (entry_vm.entry, site.start_entry, entry_vm)
        for entry_vm in site.entry_vms
    ]
    agents = [(vm.agent, site.start_agent, vm) for vm in site.vms.values()]
    schedulers = [
        (entry_vm.scheduler, site.start_scheduler, entry_vm)
        for entry_vm in (owner, *others)
    ]
    return {
        "an entry": entries[:1],
        "the owner": schedulers[:1],
        "the other scheduler": schedulers[1:],
        "an agent": agents[:1],
        "every agent in turn": agents,
        "every process in turn": [*entries, *schedulers, *agents],
    }[what]


async def _stop(context, what):
    context.statuses = []
    for process, start, vm in _processes_to_stop(context.site, what):
        context.statuses.append(await process.stop())
        await start(vm)


@when("{what} gets SIGTERM")
def _gets_sigterm(context, what):
    context.bridge.call(_stop, context, what)


async def _wait_answered(context):
    await context.site.wait_until(
        lambda: len(context.in_flight) == REQUESTS,
        timeout_s=15.0,
        description="each request has an answer",
    )


@then("each request in flight is answered done")
def _each_is_done(context):
    context.bridge.call(_wait_answered, context)
    outcomes = [
        answer["outcome"] if answer else None for answer in context.in_flight
    ]
    assert outcomes == ["done"] * REQUESTS, outcomes
    assert not context.site.findings(), context.site.findings()


@then("the stopped processes exited with status 0")
def _ended_with_0(context):
    assert set(context.statuses) == {0}, context.statuses


@then("no task was interrupted")
def _no_task_interrupted(context):
    end_states = [
        run.end_state
        for run in context.site.record.runs
        if run.end_state not in ("", "done")
    ]
    assert not end_states, end_states
    assert len(context.site.record.runs) == TASKS


@then("after the restart the site serves requests and tasks")
def _serves_as_before(context):
    context.bridge.call(_check_serving, context.site)


async def _check_serving(site):
    await site.wait_ready()
    for entry in range(2):
        answer = await site.request("stock-check", {"n": 99}, entry=entry)
        assert answer["outcome"] == "done", answer
    await site.wait_for_job("run", "done", TASKS, timeout_s=40.0)
    assert len(site.record.runs) == TASKS, site.record.runs
