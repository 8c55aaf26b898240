"""A cancel is acknowledged while the end of its job is not on record."""

import trio

from review.harness import CANCEL_S
from review.harness import CONTACT_S
from review.harness import CouldNotRun
from review.harness import play
from review.harness import step
from review.harness import STOP_S

JOB = "00000000000000c1"
WORK_S = 14.0
# The site file has silent outages of the store of up to 4.2 s, and machines
# without power for about a second.
OUTAGE_S = 4.2
DOWN_S = 1.0
WATCHED_S = 28.0
BEFORE_CANCEL_S = 0.6


def work_s(task):
    return WORK_S if task.startswith(JOB) else 0.3


async def scenario(site):
    await site.warm_up()
    await site.submit(JOB, [step(1, cpu=1000, estimatedMs=14_000)])
    with trio.move_on_after(10.0):
        while not site.runs_of(JOB):
            await trio.sleep(0.02)
    if not site.runs_of(JOB):
        raise CouldNotRun("the task was not started")
    run = site.runs_of(JOB)[0]
    await trio.sleep(run.started_s + WORK_S - 0.1 - site.record.now())
    if site.trouble:
        site.record.add("store_down")
        site.store.mode = "silent"
    # The end of the task reaches the leader, which cannot put it on record.
    await trio.sleep(BEFORE_CANCEL_S)
    status, _ = await site.call("DELETE", JOB, front=0)
    if status != 200:
        status, _ = await site.call("DELETE", JOB, front=1)
    if status != 200:
        raise CouldNotRun("the cancel was not acknowledged")
    acked_s = calm_s = site.record.now()
    if site.trouble:
        calm_s = await lose_power(site)
    await trio.sleep(WATCHED_S)
    await site.state(JOB, front=0)
    await site.state(JOB, front=1)
    return runs_on(site, acked_s, calm_s)


async def lose_power(site):
    """Stop everything but the store; return when the last of it is back."""
    site.record.add("power_lost")
    for program in site.programs():
        program.kill()
    for runner in site.runners:
        runner.crash()
    await trio.sleep(DOWN_S)
    for program in site.programs():
        program.start()
    for runner in site.runners:
        await runner.boot()
    site.record.add("power_back")
    await trio.sleep(OUTAGE_S - BEFORE_CANCEL_S - DOWN_S)
    site.store.mode = ""
    site.record.add("store_up")
    return site.record.now()


def runs_on(site, acked_s, calm_s):
    """Return the runs that are there when all of them have to be gone."""
    due_s = max(acked_s, calm_s + CONTACT_S) + CANCEL_S + STOP_S
    return [
        f"UNASKED: {run.task} run {run.number} was started at "
        f"{run.started_s:.3f} on {run.runner.worker_id} and ran until "
        f"{run.ended_s or site.record.now():.3f}; its job was cancelled, "
        f"acked at {acked_s:.3f}, and it had to be gone by {due_s:.3f}"
        for run in site.runs_of(JOB)
        if run.ended_s is None or run.ended_s > due_s
    ]


if __name__ == "__main__":
    play(__file__, scenario, dispatchers=2, machines=2, work_s=work_s)
