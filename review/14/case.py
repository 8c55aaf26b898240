"""Case 14: a gang that has failed once is counted as having failed twice.

One runner of ten fails all that it starts. Two members of a gang run on it,
and end as `failed` at the same moment; the others end as `broken`.
"""

import json
import os
import pathlib
import sys
import time

import trio

from review.kit3 import Site
from tests.standin.platform_runner import PlatformRunner
from tests.standin.platform_runner import TICK_S

FOLDER = pathlib.Path(__file__).resolve().parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
RUNNERS = 10
MEMBERS = 20
MAX_ATTEMPTS = 2
GANG_S = 3.0
WORK_S = 1.5
# The faulty runner fails what it has started after this time.
FAIL_AFTER_S = 0.8
# The site file's longest srv_grey, at its share of 0.1.
GREY_S = 6.5
# A runner has 8,000 thousandths of a core: two members on each.
STEP = {
    "count": MEMBERS,
    "cpu": 4000,
    "memMb": 10,
    "estimatedMs": 1500,
    "gang": True,
}


class GangRunner(PlatformRunner):
    """Run gangs as PROTOCOL.md says, with members on several runners."""

    # Runs by job, occurrence, step and number of the run.
    gangs = {}
    is_grey = False

    def _start(self, raw):
        before = len(self.record)
        answer = super()._start(raw)
        if len(self.record) > before:
            run = self.record[-1]
            self.gangs.setdefault(self._key(run), []).append(run)
        return answer

    def _key(self, run):
        return run.task.rpartition(".")[0], run.number

    async def run_tasks(self):
        while True:
            await trio.sleep(TICK_S)
            if self.clock_ms() > self._lease_deadline_ms:
                for run in list(self.runs.values()):
                    self._end(run, "lapsed")
            failing = [
                run
                for run in self.runs.values()
                if self.is_grey and run.progress_s >= FAIL_AFTER_S
            ]
            for run in list(self.runs.values()):
                self._advance(run)
            # It fails everything at once.
            for run in failing:
                if run.task in self.runs:
                    self._end(run, "failed")

    def _advance(self, run):
        size = MEMBERS if run.spec == "gang" else 1
        members = self.gangs[self._key(run)]
        if any(other.end_kind not in ("", "done") for other in members):
            self._end(run, "broken")
        elif len(members) == size:
            run.advance(TICK_S)
            if run.progress_s >= WORK_S:
                self._end(run, "done")
        elif time.monotonic() - run.started_s > GANG_S:
            self._end(run, "alone")


async def main():
    async with Site.open(FOLDER, max_s=90) as site:
        site.set_config({"name": "g", "prefix": "/gangs/", "maxAttempts": MAX_ATTEMPTS})
        for _ in range(3):
            site.add_dispatcher(memory_mb=300, max_fds=4100)
        for _ in range(RUNNERS):
            site.add_machine(GangRunner)
        await site.start()
        client = site.client(site.dispatchers[0])
        ordinary = "%016x" % 1
        for _ in range(50):
            if await client.submit(
                ordinary, [{"count": 1, "cpu": 100, "estimatedMs": 1500}]
            ) == 200:
                break
            await trio.sleep(0.2)
        with trio.move_on_after(15):
            while await client.state(ordinary) != "completed":
                await trio.sleep(0.5)
        # All runners have said that they are there.
        await trio.sleep(2.0)
        grey = site.machines[0].runner
        grey.is_grey = TROUBLE
        site.record.write(f"{grey.worker_id} fails all: {grey.is_grey}")
        grey_until_s = site.record.now_s() + GREY_S
        name = "%016x" % 2
        body = json.dumps({"spec": "gang", "steps": [STEP]}).encode()
        status, _ = await client.send("POST", name, body, prefix="/gangs/")
        if status != 200:
            return 2
        state, until_s = "", site.record.now_s() + 40
        while site.record.now_s() < until_s and state not in (
            "completed",
            "failed",
        ):
            if site.record.now_s() > grey_until_s:
                grey.is_grey = False
            await trio.sleep(0.25)
            _, value = await client.send("GET", name, prefix="/gangs/")
            state = (value or {}).get("state", "")
        failed_runs = set()
        for run in site.runs:
            if run.spec != "gang":
                continue
            site.record.write(
                f"{run.task} run {run.number} on {run.worker_id} from"
                f" {run.started_s - site.record.begun_s:.2f}:"
                f" {run.end_kind or 'runs'}"
            )
            if run.end_kind == "failed":
                failed_runs.add(run.number)
        is_broken = state == "failed" and len(failed_runs) < MAX_ATTEMPTS
        site.record.write(
            f"the job is shown as {state}; the gang has failed"
            f" {len(failed_runs)} times of {MAX_ATTEMPTS}:"
            f" LOST {'broken' if is_broken else 'held'}"
        )
        if not any(run.spec == "gang" for run in site.runs):
            return 2
        return 1 if is_broken else 0


if __name__ == "__main__":
    try:
        sys.exit(trio.run(main))
    except BaseExceptionGroup as exc:
        print(exc, file=sys.stderr)
        sys.exit(2)
