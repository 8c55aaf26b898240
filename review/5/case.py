"""Jobs that have not begun are not counted as waiting."""

import trio

from review.harness import play
from review.harness import step

JOBS = [f"00000000000000d{index}" for index in range(4)]
# The site file has runners that are dark for up to 5 s.
DARK_S = 5.0
# A job counts once it was accepted this long ago: visible_ms + 2 s.
COUNTED_AFTER_S = 5.0
WATCHED_S = 12.0


def work_s(task):
    return 0.3


async def scenario(site):
    await site.warm_up()
    runner = site.runners[0]
    if site.trouble:
        runner.go_dark()
    label = f"r-{runner.name}"
    accepted_s = {}
    for job in JOBS:
        await site.submit(job, [step(1, requirements=label)])
        accepted_s[job] = site.record.now()
    findings = []
    async with trio.open_nursery() as nursery:
        nursery.start_soon(end_darkness, site, runner)
        with trio.move_on_after(WATCHED_S):
            while True:
                for front in range(len(site.fronts)):
                    findings += await look(site, accepted_s, front)
                await trio.sleep(0.1)
    for job in JOBS:
        await site.wait_state(job, ("completed",), timeout_s=20.0)
    return findings


async def end_darkness(site, runner):
    if site.trouble:
        await trio.sleep(DARK_S)
        await runner.boot_again()


async def look(site, accepted_s, front):
    """Ask a daemon for the count; return a finding if it is too low."""
    asked_s = site.record.now()
    status, data = await site.call("GET", "", front=front)
    if status != 200:
        return []
    due = [
        job
        for job in JOBS
        if asked_s - accepted_s[job] > COUNTED_AFTER_S
        and not site.runs_of(job)
    ]
    if data["waiting"] >= len(due) / 2:
        return []
    return [
        f"MIXED: at {asked_s:.3f} daemon {front + 1} says that "
        f"{data['waiting']} jobs wait; {len(due)} were accepted over "
        f"{COUNTED_AFTER_S:.0f} s before and have not begun"
    ]


if __name__ == "__main__":
    play(__file__, scenario, dispatchers=2, machines=2, work_s=work_s)
