"""Steps for a site whose store has lost commits."""

import functools

from behave import then
from behave import when

from tests.promises.process_faults import kill_owner
from tests.promises.process_faults import owner_entry_vm


@when("the owner is killed and replaced by another")
def _owner_is_replaced(context):
    context.bridge.call(kill_owner, context.site)


@when("the owner dies and the store is rolled back to before their submission")
def _owner_dies(context):
    context.bridge.call(_kill_and_restore, context)


async def _kill_and_restore(context):
    site = context.site
    await owner_entry_vm(site).scheduler.kill()
    site.store.restore(context.store_backup)


@then("within {bound_s:d} s every agent follows another owner")
def _agents_follow(context, bound_s):
    site = context.site

    async def are_there():
        found = await site.revisions(entry=1) or await site.revisions()
        agents = [kind for kind, _ in found if kind == "agent"]
        return len(agents) == len(site.vms)

    context.bridge.call(
        functools.partial(
            site.wait_until,
            are_there,
            timeout_s=bound_s,
            description="every agent follows an owner",
        )
    )


@then("a job that is submitted afterwards is done within {bound_s:d} s")
def _a_job_is_done(context, bound_s):
    async def run():
        status, answer = await context.site.submit(
            "after", "settlement-run", tasks=4, work_s=1.0
        )
        assert status == 202, answer
        await context.site.wait_for_job("after", "done", 4, timeout_s=bound_s)

    context.bridge.call(run)
