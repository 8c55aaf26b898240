"""The operator adds a queue whose jobs need advice."""

import os

import trio

from review.harness import play
from review.harness import PREFIX
from review.harness import step

JOBS = [f"00000000000000f{index}" for index in range(5)]
ADVISED_PREFIX = "/advised/"
# The pages' example of the advisor's answer has 3,000 ms.
VALID_MS = int(os.environ.get("VALID_MS", "3000"))
ADVICE = {"decide_ms": 20, "each_ms": 5, "valid_ms": VALID_MS}
CONFIG_APPLY_S = 2.0
# The rule looks from finish_s after the end of the traffic on, for 3 s.
FINISH_S = 14.0
IDLE_S = 3.0
WATCHED_S = 30.0


def work_s(task):
    return 1.0


async def scenario(site):
    await site.warm_up()
    prefix = PREFIX
    if site.trouble:
        prefix = ADVISED_PREFIX
        site.write_config(
            version=9,
            name="advised",
            prefix=ADVISED_PREFIX,
            advice={
                "decideMs": ADVICE["decide_ms"],
                "eachMs": ADVICE["each_ms"],
                "validMs": ADVICE["valid_ms"],
            },
        )
        site.advised_jobs.update(JOBS)
    await trio.sleep(CONFIG_APPLY_S + 1.0)
    accepted_s = {}
    for job in JOBS:
        await site.submit(
            job, [step(1, cpu=1000, estimatedMs=1000)], prefix=prefix
        )
        accepted_s[job] = site.record.now()
    judged_s = site.record.now() + FINISH_S
    await trio.sleep(WATCHED_S)
    findings = []
    for job in JOBS:
        _, data = await site.call("GET", job, front=1, prefix=prefix)
        if is_idle(site.runs_of(job), judged_s):
            findings.append(
                f"LOST: {job} was accepted at {accepted_s[job]:.3f} and has "
                f"nothing running from {judged_s:.3f} to "
                f"{judged_s + IDLE_S:.3f} ({len(site.runs_of(job))} starts in "
                f"all), while all runners are idle; it is shown as {data}"
            )
    return findings


def is_idle(runs, judged_s):
    """Return whether a job of one task waits without a run for IDLE_S."""
    for run in runs:
        ended_s = run.ended_s or float("inf")
        if run.how == "done" and ended_s < judged_s + IDLE_S:
            return False
        if run.started_s < judged_s + IDLE_S and ended_s > judged_s:
            return False
    return True


if __name__ == "__main__":
    play(
        __file__,
        scenario,
        dispatchers=2,
        machines=2,
        work_s=work_s,
        advice=ADVICE,
    )
