"""Case 15: jobs of which no task has begun aren't given as waiting.

One runner of ten refuses starts for some seconds. Jobs that only it may run
come meanwhile, and their queue is asked how many of its jobs wait.
"""

import os
import pathlib
import sys

import trio

from radishlanding.http import HttpResponse
from review.kit3 import Site
from tests.standin.platform_runner import PlatformRunner

FOLDER = pathlib.Path(__file__).resolve().parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
RUNNERS = 10
# The site file's longest srv_grey, at its share of 0.1.
UNHEALTHY_S = 6.5
JOBS = 4
# `visible_ms` + 2 s of the sites in force.
VISIBLE_S = 5.0
# A job may run for as long as the runner is well.
TASK_S = 60.0
STEP = {"count": 1, "cpu": 100, "memMb": 10, "estimatedMs": 60000}
LABEL = "b"


class GreyRunner(PlatformRunner):
    """Refuse starts with 503 while unhealthy, having done nothing."""

    is_unhealthy = False
    refused = 0

    async def respond(self, req):
        if self.is_unhealthy and req.path[1] == "run-start":
            self.refused += 1
            return HttpResponse(status=503)
        return await super().respond(req)


def begun(site):
    return {run.task.partition(".")[0] for run in site.runs}


async def main():
    async with Site.open(FOLDER, max_s=90) as site:
        site.set_config()
        for _ in range(3):
            site.add_dispatcher(memory_mb=300, max_fds=4100)
        for _ in range(RUNNERS):
            site.add_machine(GreyRunner)
        special = site.machines[0].runner
        special.labels = [LABEL, "z0-rack"]
        for machine in site.machines:
            machine.runner.work_s = TASK_S
        await site.start()
        client = site.client(site.dispatchers[0])
        for _ in range(50):
            if await client.submit("%016x" % 1, [STEP]) == 200:
                break
            await trio.sleep(0.2)
        await trio.sleep(4.0)
        if not site.runs:
            site.record.write("the site does not serve an ordinary job")
            return 2
        names = [f"{0xC000 + number:016x}" for number in range(JOBS)]
        if TROUBLE:
            special.is_unhealthy = True
            site.record.write("the runner with the label refuses starts")
        unhealthy_from_s = site.record.now_s()
        accepted_s = {}
        for name in names:
            status = await client.submit(
                name, [{**STEP, "requirements": LABEL}]
            )
            if status == 200:
                accepted_s[name] = site.record.now_s()
        is_broken = False
        while site.record.now_s() < unhealthy_from_s + UNHEALTHY_S - 0.2:
            await trio.sleep(0.25)
            owed = [
                name
                for name, at_s in accepted_s.items()
                if site.record.now_s() > at_s + VISIBLE_S
                and name not in begun(site)
            ]
            if TROUBLE and not owed:
                continue
            for dispatcher in site.dispatchers:
                status, value = await site.client(dispatcher).send("GET", "")
                if status != 200:
                    continue
                still = [name for name in owed if name not in begun(site)]
                if 2 * value["waiting"] < len(still):
                    is_broken = True
                    site.record.write(
                        f"{dispatcher.name} gives {value['waiting']} waiting,"
                        f" {len(still)} accepted over {VISIBLE_S} s ago have"
                        " not begun"
                    )
        for name in names:
            site.record.write(f"{name}: {await client.state(name)}")
        special.is_unhealthy = False
        site.record.write(
            f"the runner is well again, it refused {special.refused} starts"
        )
        with trio.move_on_after(15):
            while not set(names) <= begun(site):
                await trio.sleep(0.1)
        site.record.write(
            f"begun in the end: {len(set(names) & begun(site))} of {JOBS};"
            f" MIXED {'broken' if is_broken else 'held'}"
        )
        return 1 if is_broken else 0


if __name__ == "__main__":
    try:
        sys.exit(trio.run(main))
    except BaseExceptionGroup as exc:
        print(exc, file=sys.stderr)
        sys.exit(2)
