"""Steps for a whole platform site under faults."""

import itertools

import trio
from behave import given
from behave import then
from behave import when

from tests.dispatcher.faults import inject_fault
from tests.standin import platform_checks as checks

MILLICORES = 500
CAPACITY = 8000
JOB_INTERVAL_S = 0.15
SETTLE_S = 1.0
STEPS = [
    {"count": 3, "cpu": MILLICORES, "checkpointing": True},
    {"count": 2, "cpu": MILLICORES, "after": [0], "checkpointing": True},
]


class JobSource:
    """Submit jobs at a steady rate until stopped."""

    __slots__ = ("_is_stopped", "_site", "names")

    def __init__(self, site):
        """Prepare.

        :param site: The :class:`tests.standin.platform_site.PlatformSite`.
        """
        self._is_stopped = False
        self._site = site
        self.names = []

    async def run(self):
        """Submit jobs, retrying each until it is accepted."""
        for number in itertools.count(1):
            if self._is_stopped:
                return
            self._site.nursery.start_soon(self._submit, f"{number:016x}")
            await trio.sleep(JOB_INTERVAL_S)

    async def _submit(self, name):
        await self._site.submit_until_accepted(name, STEPS)
        self.names.append(name)

    def stop(self):
        """Submit no more jobs."""
        self._is_stopped = True


@given("a platform site under a steady load of jobs")
def _a_site(context):
    context.platform_site = context.bridge.open_platform_site()
    context.job_source = JobSource(context.platform_site)
    context.bridge.spawn(context.job_source.run)
    context.bridge.call(trio.sleep, SETTLE_S)


@when("this fault is injected into the platform site: {fault}")
def _fault(context, fault):
    context.bridge.call(inject_fault, context.platform_site, fault)
    context.bridge.call(trio.sleep, SETTLE_S)


@then("every accepted job is completed within {wait_s:d} s")
def _all_completed(context, wait_s):
    context.job_source.stop()
    context.bridge.call(_wait_completed, context, wait_s)


async def _wait_completed(context, wait_s):
    site = context.platform_site
    with trio.fail_after(wait_s):
        while len(context.job_source.names) < len(set(_submitted_jobs(site))):
            await trio.sleep(0.05)
    assert len(context.job_source.names) >= 5, context.job_source.names
    for name in context.job_source.names:
        await site.wait_state(name, "completed", timeout_s=wait_s)


def _submitted_jobs(site):
    return [item.job for item in site.submissions if item.job != "0" * 16]


@then("no task ran twice, out of order or beyond the capacity of a worker")
def _ran_correctly(context):
    record = context.platform_site.record
    findings = checks.double_runs(record)
    findings += checks.out_of_order(record)
    findings += checks.overcommitted_runners(
        record, millicores=MILLICORES, capacity=CAPACITY
    )
    assert not findings, findings[:5]


@then("no refused job ran")
def _no_refused_run(context):
    site = context.platform_site
    findings = checks.refused_runs(site.record, site.submissions)
    assert not findings, findings[:5]
