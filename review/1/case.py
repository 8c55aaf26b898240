"""More than 500 tasks of one runner end while the store is down."""

import trio

from review.harness import CouldNotRun
from review.harness import play
from review.harness import step

JOB = "00000000000000b1"
COUNT = 1300
# Tasks end between 20 and 23.2 s after their start, so that the runner ends
# some 200 a second.
WORK_S = 20.0
SPREAD_S = 3.2
# The site file has outages of the store of up to 4.5 s.
OUTAGE_S = 4.5


def work_s(task):
    job, _, _, index = task.split(".")
    if job != JOB:
        return 0.3
    return WORK_S + SPREAD_S * (int(index) % 97) / 97


async def scenario(site):
    await site.warm_up()
    await site.submit(JOB, [step(COUNT, cpu=80, estimatedMs=21_000)])
    with trio.move_on_after(18.0):
        while len(site.runs_of(JOB)) < COUNT:
            await trio.sleep(0.02)
    runs = site.runs_of(JOB)
    site.record.add("started", runs=len(runs))
    if len({run.task for run in runs}) < COUNT:
        raise CouldNotRun(f"only {len(runs)} of {COUNT} tasks were started")
    first_end_s = min(run.started_s + run.work_s for run in runs)
    await trio.sleep(max(0.0, first_end_s - site.record.now() - 0.3))
    if site.trouble:
        site.record.add("store_down")
        site.store.mode = "busy"
        await trio.sleep(OUTAGE_S)
        site.store.mode = ""
        site.record.add("store_up")
    else:
        await trio.sleep(OUTAGE_S)
    await site.wait_state(JOB, ("completed", "failed"), timeout_s=50.0)
    await trio.sleep(1.0)
    return second_runs(site.runs_of(JOB))


def second_runs(runs):
    """Return the starts after a run that ended done and was taken note of."""
    findings = []
    by_task = {}
    for run in runs:
        by_task.setdefault(run.task, []).append(run)
    for task, group in by_task.items():
        for earlier in group:
            if earlier.how != "done" or earlier.noted_s is None:
                continue
            if earlier.has_lapsed_unnoted:
                continue
            for later in group:
                if later.started_s > earlier.ended_s:
                    findings.append(
                        f"TWICE: {task} run {later.number} was started at "
                        f"{later.started_s:.3f} on {later.runner.worker_id}; "
                        f"run {earlier.number} had ended done at "
                        f"{earlier.ended_s:.3f}, noted {earlier.noted_s:.3f}"
                    )
    return findings


if __name__ == "__main__":
    play(__file__, scenario, dispatchers=2, machines=2, work_s=work_s)
