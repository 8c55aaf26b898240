"""Steps for misbehaving and urgent tasks."""

import functools

import trio
from behave import given
from behave import then
from behave import when

from tests.standin import checks
from tests.standin.plan import Plan
from tests.standin.record import now_s

JOB = "odd"
CANCELLED_JOBS = 30
WORK_S = {"tank-watch": 30.0, "shipment-plan": 12.0, "settlement-run": 1.0}


@given("a running site")
def _running_site(context):
    context.site = context.bridge.open_site(Plan())
    context.store_backup = context.site.store.dump()


async def _submit(context, count, template, **params):
    work = {"work_s": WORK_S[template], **params}
    status, answer = await context.site.submit(
        JOB, template, tasks=count, **work
    )
    assert status == 202, answer


@when("{count:d} {template:S} tasks run")
def _tasks_run(context, count, template):
    context.bridge.call(_submit_and_wait, context, count, template)


async def _submit_and_wait(context, count, template):
    await _submit(context, count, template)
    if template != "settlement-run":
        await context.site.wait_for_running(count, timeout_s=10.0)


@when("{count:d} {template:S} tasks run that ignore the stop order")
def _ignore_stop(context, count, template):
    async def run():
        await _submit(context, count, template, ignores_stop=True)
        await context.site.wait_for_running(count, timeout_s=10.0)

    context.bridge.call(run)


@when("{count:d} {template:S} tasks run that fail")
def _tasks_fail(context, count, template):
    async def run():
        await _submit(context, count, template, fails=True)

    context.bridge.call(run)


@when("their job is cancelled")
def _is_cancelled(context):
    context.bridge.call(_cancel, context.site, JOB)


async def _cancel(site, job_id):
    status, answer = await site.call("DELETE", f"/v1/jobs/{job_id}")
    assert status == 200, answer


@when("30 tank-watch jobs are submitted and cancelled at once")
def _submit_and_cancel_jobs(context):
    context.bridge.call(_submit_and_cancel, context.site)


async def _submit_and_cancel(site):
    jobs = [f"wave-{number}" for number in range(CANCELLED_JOBS)]
    async with trio.open_nursery() as nursery:
        for job_id in jobs:
            submit = functools.partial(site.submit, work_s=30.0)
            nursery.start_soon(submit, job_id, "tank-watch")
    async with trio.open_nursery() as nursery:
        for job_id in jobs:
            nursery.start_soon(_cancel, site, job_id)


@then("within {bound_s:d} s their job has {count:d} {state:w} tasks")
def _their_job_has(context, bound_s, count, state):
    async def wait():
        await context.site.wait_for_job(JOB, state, count, timeout_s=bound_s)

    context.bridge.call(wait)


@then("within 15 s each job is cancelled")
def _each_is_cancelled(context):
    async def wait():
        for number in range(CANCELLED_JOBS):
            await context.site.wait_for_job(
                f"wave-{number}", "cancelled", 1, timeout_s=15.0
            )

    context.bridge.call(wait)


@then("none of its tasks is running")
@then("none of their tasks is running")
def _none_is_running(context):
    assert not context.site.record.running()
    assert not context.site.findings(), context.site.findings()


@then('its task ran on {count:d} different VMs and reports "{reason}"')
def _ran_on(context, count, reason):
    runs = context.site.record.runs_of(f"{JOB}/0")
    assert len({run.vm for run in runs}) == len(runs) == count, runs

    async def show():
        return await context.site.call("GET", f"/v1/jobs/{JOB}")

    _, job = context.bridge.call(show)
    assert reason in job["tasks"][0]["reason"], job


@when("a worker fails every task")
def _worker_fails(context):
    context.failing = next(iter(context.site.vms.values()))
    context.failing.worker.fails_all_tasks = True


@then("the failing worker received at most {count:d} of them")
def _failing_worker_received(context, count):
    runs = [
        run
        for run in context.site.record.runs
        if run.vm == context.failing.name
    ]
    assert len(runs) <= count, len(runs)


@when("a VM with some of them dies")
def _a_vm_dies(context):
    vm = context.site.vms[context.site.record.running()[0].vm]
    context.bridge.call(vm.crash)


async def _lost_tasks(site):
    status, job = await site.call("GET", f"/v1/jobs/{JOB}")
    assert status == 200, job
    return [
        task["task_id"] for task in job["tasks"] if task["state"] == "lost"
    ]


@then("within 15 s some of the tasks are lost")
def _some_are_lost(context):
    async def wait():
        async def are_lost():
            return bool(await _lost_tasks(context.site))

        await context.site.wait_until(
            are_lost, timeout_s=15.0, description="tasks are lost"
        )

    context.bridge.call(wait)


@when("the operator requeues the lost tasks")
def _operator_requeues(context):
    async def requeue():
        for task_id in await _lost_tasks(context.site):
            index = task_id.rpartition("/")[2]
            status, answer = await context.site.call(
                "POST",
                f"/v1/jobs/{JOB}/tasks/{index}/decision",
                {"again": True},
            )
            assert status == 200, answer

    context.bridge.call(requeue)


@when("4 settlement-run tasks are submitted")
def _urgent_submitted(context):
    async def submit():
        context.submitted_s = now_s()
        status, answer = await context.site.submit(
            "urgent", "settlement-run", tasks=4, work_s=10.0
        )
        assert status == 202, answer

    context.bridge.call(submit)


def _urgent_runs(site):
    return [run for run in site.record.runs if run.task_id[:6] == "urgent"]


@then("the urgent tasks have all started within 3.4 s")
def _urgent_started(context):
    async def wait():
        await context.site.wait_until(
            lambda: len(_urgent_runs(context.site)) == 4,
            timeout_s=10.0,
            description="urgent tasks start",
        )

    context.bridge.call(wait)
    took_s = [
        run.started_s - context.submitted_s
        for run in _urgent_runs(context.site)
    ]
    assert max(took_s) <= 3.4, took_s


@then(
    "every evicted task is running again, from its last checkpoint, within "
    "20 s"
)
def _evicted_run_again(context):
    site = context.site

    def are_running():
        running = {run.task_id for run in site.record.running()}
        evicted = {run.task_id for run in site.record.runs if run.was_evicted}
        return evicted and evicted <= running

    async def wait():
        await site.wait_until(
            are_running, timeout_s=20.0, description="evicted tasks run again"
        )

    context.bridge.call(wait)
    findings = checks.invariant_findings(site.record)
    assert not findings, findings
