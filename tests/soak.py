"""Injects random, overlapping faults into a platform site.

``python -m tests.soak [FIRST_SEED] [SEEDS] [SECONDS]`` runs one site for each
seed. Runs and submissions are checked during the run and at its end. Exits
with 1 if a seed has findings. Seeds in ``REGRESSIONS`` always run first.
"""

import pathlib
import random
import sys

import trio

from tests.dispatcher.faults import FAULTS
from tests.dispatcher.site_steps import CAPACITY
from tests.dispatcher.site_steps import JobSource
from tests.dispatcher.site_steps import MILLICORES
from tests.standin import latency_load
from tests.standin import platform_checks as checks
from tests.standin.early_cancellations import EarlyCancellations
from tests.standin.platform_site import PlatformSite

DEFAULT_DURATION_S = 20.0
MAX_GAP_S = 4.0
CHECK_INTERVAL_S = 0.5
SETTLE_TIMEOUT_S = 40.0
# From the platform's documentation: latency counts on a machine that has been
# without faults for this long, and a violation may last less than this.
FAULT_FREE_S = 3.0
MAX_VIOLATION_S = 4.0
# Leaves time for a violation of MAX_VIOLATION_S that starts late.
LATENCY_RUN_S = 9.0
EXCLUDED_FAULTS = {"nothing"}
# Seeds that have failed, with the cause of the failure.
REGRESSIONS = {
    3: "after a reboot a worker was given a deadline on the clock of the "
    "previous boot, and its tasks ran on after they were reassigned",
    11: "a listing that waited behind starts acknowledged ends of a new boot "
    "by the end numbers of the previous boot",
    329: "probably the same cause, with a frozen agent and a leader that does "
    "not wait; see KNOWN-RED.txt",
}


def findings_of(site):
    """Return the violations in the runs and submissions of a site."""
    findings = checks.double_runs(site.record)
    findings += checks.out_of_order(site.record)
    findings += checks.overcommitted_runners(
        site.record, millicores=MILLICORES, capacity=CAPACITY
    )
    return findings + checks.refused_runs(site.record, site.submissions)


class Soak:
    """Run one site under the faults of one seed."""

    __slots__ = (
        "_early_cancellations",
        "_process_lock",
        "_rng",
        "_site",
        "findings",
        "injected_faults",
    )

    def __init__(self, *, site, seed):
        """Prepare a run.

        :param site: A :class:`PlatformSite`.
        :param seed: Seed of the faults.
        """
        self._early_cancellations = EarlyCancellations(site)
        self._process_lock = trio.Lock()
        self._rng = random.Random(seed)
        self._site = site
        self.findings = []
        self.injected_faults = []

    async def run(self, *, duration_s):
        """Inject faults, then wait until all accepted jobs are completed.

        :param duration_s: Time during which faults are injected, in seconds.
        """
        source = JobSource(self._site)
        await latency_load.submit_serving_job(
            self._site, count=len(self._site.machines)
        )
        await latency_load.submit_best_effort_jobs(self._site, batch=0)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(source.run)
            nursery.start_soon(self._check)
            nursery.start_soon(self._early_cancellations.run)
            with trio.move_on_after(duration_s):
                await self._inject_faults(nursery)
            source.stop()
            async with self._process_lock:
                await self._wait_done(source)
            await self._check_latency()
            nursery.cancel_scope.cancel()
        self.findings += self._find()

    def _find(self):
        return findings_of(self._site) + self._early_cancellations.findings(
            self._site.record
        )

    async def _check(self):
        while not self.findings:
            await trio.sleep(CHECK_INTERVAL_S)
            self.findings += self._find()

    async def _inject_faults(self, nursery):
        names = sorted(set(FAULTS) - EXCLUDED_FAULTS)
        while True:
            name = self._rng.choice(names)
            self.injected_faults.append(name)
            nursery.start_soon(self._inject, name)
            await trio.sleep(self._rng.uniform(0.3, MAX_GAP_S))

    async def _inject(self, name):
        """Inject a fault; those that restart processes exclude each other."""
        if "killed" in name or "stopped" in name or "frozen" in name:
            async with self._process_lock:
                await self._inject_now(name)
        else:
            await self._inject_now(name)

    async def _inject_now(self, name):
        while self._site.leader() is None:
            await trio.sleep(0.05)
        await FAULTS[name](self._site)

    async def _wait_done(self, source):
        with trio.move_on_after(SETTLE_TIMEOUT_S) as scope:
            for name in list(source.names):
                while await self._site.state(name) != "completed":
                    await trio.sleep(0.1)
        if scope.cancelled_caught:
            self.findings.append(f"{name} is not completed")

    async def _check_latency(self):
        """Check latency under best-effort tasks, after a last restart."""
        await FAULTS["everything is killed"](self._site)
        await trio.sleep(FAULT_FREE_S)
        for run in self._site.record:
            run.load.reset_violations()
        await latency_load.submit_best_effort_jobs(self._site, batch=1)
        await trio.sleep(LATENCY_RUN_S)
        self.findings += checks.latency_findings(
            self._site.record, max_s=MAX_VIOLATION_S
        )


async def run_seed(seed, duration_s):
    """Run a site and return its findings.

    :param seed: Seed of the site and its faults.
    :param duration_s: Time during which faults are injected, in seconds.
    """
    async with PlatformSite.open(seed=seed) as site:
        soak = Soak(site=site, seed=seed)
        await soak.run(duration_s=duration_s)
        print(
            f"seed {seed}: {len(site.record)} runs, "
            f"faults: {', '.join(soak.injected_faults)}; "
            f"{len(soak.findings)} findings",
            flush=True,
        )
        if soak.findings:
            pathlib.Path(f"soak-{seed}.log").write_text(site.read_logs())
        return soak.findings


def main():
    """Run the regression seeds and the given seeds; print the counts."""
    numbers = [float(text) for text in sys.argv[1:]]
    first, count, duration_s = [
        *numbers,
        *(1, 1, DEFAULT_DURATION_S)[len(numbers) :],
    ]
    failed = 0
    new_seeds = range(int(first), int(first) + int(count))
    for seed in [*REGRESSIONS, *new_seeds]:
        findings = trio.run(run_seed, seed, duration_s)
        for finding in findings[:5]:
            print(f"  {finding}", flush=True)
        failed += bool(findings)
    print(
        f"{len(new_seeds) + len(REGRESSIONS) - failed} passed, {failed} failed"
    )
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
