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
# The rule allows 3 s; a start takes well under one here.
WAITED_S = 3.0
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
    await trio.sleep(WATCHED_S)
    findings = []
    for job in JOBS:
        _, data = await site.call("GET", job, front=1, prefix=prefix)
        runs = site.runs_of(job)
        first_s = runs[0].started_s if runs else site.record.now()
        if first_s - accepted_s[job] > WAITED_S:
            findings.append(
                f"LOST: {job} was accepted at {accepted_s[job]:.3f} and had "
                f"nothing running until {first_s:.3f} ({len(runs)} starts), "
                f"while all runners were idle; it is shown as {data}"
            )
    return findings


if __name__ == "__main__":
    play(
        __file__,
        scenario,
        dispatchers=2,
        machines=2,
        work_s=work_s,
        advice=ADVICE,
    )
