"""Tasks of a cancelled job start while runners leave orders unanswered."""

import trio

from review.harness import CANCEL_S
from review.harness import CouldNotRun
from review.harness import play
from review.harness import step

JOB = "00000000000000e1"
COUNT = 80
# Half of the orders get no answer for 5 s and are carried out 2 to 12 s late,
# the default dose of the bench's list of kinds.
LATE_SHARE = 0.5
LATE_S = 5.0


def work_s(task):
    return 3.0 if task.startswith(JOB) else 0.3


async def scenario(site):
    await site.warm_up()
    if site.trouble:
        site.record.add("orders_late", share=LATE_SHARE)
        for runner in site.runners:
            runner.late_share = LATE_SHARE
    site.nursery.start_soon(end_trouble, site)
    await site.submit(JOB, [step(COUNT, cpu=1000, estimatedMs=3000)])
    await trio.sleep(0.3)
    status, _ = await site.call("DELETE", JOB)
    if status != 200:
        raise CouldNotRun("the cancel was not acknowledged")
    acked_s = site.record.now()
    await trio.sleep(15.0)
    # Starts that a runner carried out late are not judged.
    return [
        f"UNASKED: {run.task} run {run.number} was started at "
        f"{run.started_s:.3f} on {run.runner.worker_id}; its job was "
        f"cancelled, acked at {acked_s:.3f}"
        for run in site.runs_of(JOB)
        if run.started_s > acked_s + CANCEL_S and not run.was_late
    ]


async def end_trouble(site):
    await trio.sleep(LATE_S)
    for runner in site.runners:
        runner.late_share = 0.0
    site.record.add("orders_answered")


if __name__ == "__main__":
    play(__file__, scenario, dispatchers=2, machines=2, work_s=work_s)
