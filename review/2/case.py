"""A ping of another writer names the address of a runner."""

import json
import time

import trio

from radishlanding.http import ExchangeFailed
from radishlanding.http import HttpClient
from review.harness import CouldNotRun
from review.harness import play
from review.harness import step

JOB = "0000000000000071"
COUNT = 8
WORK_S = 10.0


def work_s(task):
    return WORK_S if task.startswith(JOB) else 0.3


async def scenario(site):
    await site.warm_up()
    await site.submit(JOB, [step(COUNT, cpu=1000, estimatedMs=10_000)])
    with trio.move_on_after(10.0):
        while len(site.runs_of(JOB)) < COUNT:
            await trio.sleep(0.02)
    if len(site.runs_of(JOB)) != COUNT:
        raise CouldNotRun("the tasks were not started once each")
    await trio.sleep(3.0)
    if site.trouble:
        await send_odd_ping(site, site.runners[0])
    await site.wait_state(JOB, ("completed", "failed"), timeout_s=60.0)
    return overlaps(site.runs_of(JOB))


async def send_odd_ping(site, runner):
    """Send one ping with a service that no config names."""
    body = {
        "service": "other-service",
        "address": f"{runner.address}",
        "zone": runner.zone,
        "version": "v1",
        "capacity": 8,
        "state": "ready",
        "coldLeftMs": 0,
        "freeCapacity": runner.capacity,
        "labels": [],
        "clockMs": 1000,
        "sequence": 1,
        "born": int(time.time() * 1000),
    }
    client = HttpClient(address=runner.control)
    try:
        response = await client.send(
            "PUT",
            "/-/instances/i-other",
            body=json.dumps(body).encode(),
            headers=[("content-type", "application/json")],
            timeout_s=1.0,
        )
        site.record.add("odd_ping", status=response.status, body=body)
    except ExchangeFailed as exc:
        site.record.add("odd_ping_unanswered", why=exc)
    finally:
        await client.close()


def overlaps(runs):
    """Return the pairs of runs of one task that ran at the same time."""
    findings = []
    for first in runs:
        for second in runs:
            if (
                first.task == second.task
                and first.number < second.number
                and second.started_s < first.ended_s
            ):
                findings.append(
                    f"TWICE: {first.task} run {first.number} on "
                    f"{first.runner.worker_id} from {first.started_s:.3f} to "
                    f"{first.ended_s:.3f} ({first.how}) and run "
                    f"{second.number} on {second.runner.worker_id} from "
                    f"{second.started_s:.3f}"
                )
    return findings


if __name__ == "__main__":
    play(__file__, scenario, dispatchers=2, machines=3, work_s=work_s)
