"""Steps for serving tasks beside best-effort tasks on a platform site."""

import trio
from behave import given
from behave import then
from behave import when

from tests.standin import latency_load
from tests.standin import platform_checks as checks
from tests.standin.latency_load import BEST_EFFORT_JOBS
from tests.standin.latency_load import best_effort_prefix

# Time to bring the latency below the target and to learn image weights.
SETTLE_S = 3.0
# More than twice the allowed stretch, to see one that begins late in full.
OBSERVE_S = 9.0
START_TIMEOUT_S = 8.0


async def _wait_running(site, prefix, count):
    with trio.move_on_after(START_TIMEOUT_S):
        while len(_runs(site, prefix)) < count:
            await trio.sleep(0.05)
    runs = _runs(site, prefix)
    assert len(runs) >= count, f"{len(runs)} of {count} runs of {prefix!r}"


def _runs(site, prefix):
    return [run for run in site.record if run.task.startswith(prefix)]


@given(
    "a platform site with a VM that runs a serving task beside interfering "
    "best-effort tasks"
)
def _a_site(context):
    context.platform_site = context.bridge.open_platform_site(machines=1)
    context.bridge.call(_begin, context.platform_site)


async def _begin(site):
    await latency_load.submit_serving_job(site, count=1)
    await _wait_running(site, latency_load.SERVING_JOB, 1)
    await latency_load.submit_best_effort_jobs(site, batch=0)
    await _wait_running(site, best_effort_prefix(0), BEST_EFFORT_JOBS)
    await trio.sleep(SETTLE_S)


@when("more interfering best-effort tasks are submitted")
def _more(context):
    context.done_before_s = _work_done_s(context.platform_site)
    context.bridge.call(_add, context.platform_site)


async def _add(site):
    await latency_load.submit_best_effort_jobs(site, batch=1)
    await _wait_running(site, best_effort_prefix(1), BEST_EFFORT_JOBS)
    await trio.sleep(OBSERVE_S)


@then("no serving task was over its target for {max_s:d} s at a stretch")
def _within_target(context, max_s):
    findings = checks.latency_findings(
        context.platform_site.record, max_s=max_s
    )
    assert not findings, findings


@then("best-effort tasks have made progress since")
def _progress(context):
    done_s = _work_done_s(context.platform_site) - context.done_before_s
    assert done_s > 0, done_s


def _work_done_s(site):
    return sum(
        run.progress_s for run in site.record if run.load.is_best_effort
    )
