"""Fake of a runner of the platform.

Simulates tasks by the clock, under one lease for the whole runner, and
records each run.
"""

import contextlib
import random
import time

import trio

from radishlanding.http import ExchangeFailed
from radishlanding.http import HttpClient
from radishlanding.http import HttpError
from radishlanding.http import HttpResponse
from tests.standin.runner_run import RunnerRun

TICK_S = 0.02
HOLD_MAX_MS = 10_000
PING_INTERVAL_S = 0.4
FOREVER_S = 3600.0


class PlatformRunner:
    """Execute calls that start, stop, pace and list runs."""

    __slots__ = (
        "_boot_ms",
        "_boot_s",
        "_changed",
        "_end_number",
        "_ended",
        "_fence",
        "_lease_deadline_ms",
        "_refused_up_to",
        "_rng",
        "_sequence",
        "_unacknowledged",
        "address",
        "capacity",
        "fails_all_tasks",
        "is_draining",
        "is_silent",
        "labels",
        "late_probability",
        "nursery",
        "pool",
        "record",
        "runs",
        "unhealthy_calls",
        "work_s",
        "worker_id",
        "zone",
    )

    def __init__(self, *, worker_id, zone, pool, record, seed=1):
        """Start without runs.

        :param worker_id: ID of the runner.
        :param zone: Availability zone.
        :param pool: Name of its service.
        :param record: List to append each :class:`RunnerRun` to.
        :param seed: Seed of the random faults.
        """
        self._changed = trio.Event()
        self._rng = random.Random(seed)
        self.address = ""
        self.capacity = {"cpu": 8000, "memMb": 16000, "gpu": 0}
        self.fails_all_tasks = False
        self.is_draining = False
        self.is_silent = False
        self.labels = ["a", f"{zone}-rack"]
        self.late_probability = 0.0
        self.nursery = None
        self.pool = pool
        self.record = record
        # Number of calls that it refuses.
        self.unhealthy_calls = 0
        self.work_s = 0.3
        self.worker_id = worker_id
        self.zone = zone
        self._sequence = 0
        self.boot()

    def boot(self, *, set_back_s=0):
        """Reboot: lose all runs and reset the clock, lease and fence.

        :param set_back_s: How far its time of day is set back, in seconds.
        """
        for run in getattr(self, "runs", {}).values():
            run.finish("lost")
        self._boot_s = time.monotonic()
        self._boot_ms = int((time.time() - set_back_s) * 1000)
        self._lease_deadline_ms = 0
        self._ended = []
        self._fence = 0
        self._refused_up_to = {}
        self._end_number = 0
        self._sequence = 0
        self._unacknowledged = {}
        self.runs = {}

    def clock_ms(self):
        """Return the time since the boot, in milliseconds."""
        return int((time.monotonic() - self._boot_s) * 1000)

    async def ping(self, machine):
        """Ping the agent until cancelled.

        :param machine: The :class:`PlatformMachine` of the agent.
        """
        while True:
            if machine.reports_address and not self.is_silent:
                await self.ping_once(machine.reports_address)
            await trio.sleep(PING_INTERVAL_S)

    async def ping_once(self, agent, *, worker_id=None, **changes):
        """Send one ping; ignore a failure.

        :param agent: ``ip:port`` that the agent takes pings at.
        :param worker_id: ID that the ping is sent under, its own by default.
        :param changes: Fields of the ping that differ from its own.
        """
        client = HttpClient(address=agent)
        self._sequence += not changes
        body = HttpResponse.of_json(
            {
                "service": self.pool,
                "address": self.address,
                "zone": self.zone,
                "version": "v1",
                "capacity": 8,
                "state": "draining" if self.is_draining else "ready",
                "coldLeftMs": 0,
                "freeCapacity": self.capacity,
                "labels": self.labels,
                "clockMs": self.clock_ms(),
                "sequence": self._sequence,
                "born": self._boot_ms,
                **changes,
            }
        ).body
        # The agent may be down; the next ping tries again.
        with contextlib.suppress(ExchangeFailed):
            await client.send(
                "PUT",
                f"/-/instances/{worker_id or self.worker_id}",
                body=body,
                timeout_s=1.0,
            )
        await client.close()

    async def run_tasks(self):
        """Advance and end runs, and expire the lease, until cancelled."""
        while True:
            await trio.sleep(TICK_S)
            if self.clock_ms() > self._lease_deadline_ms:
                for run in self._unacknowledged.values():
                    run.is_lease_expired = True
                for run in list(self.runs.values()):
                    self._end(run, "lapsed")
            added_ms = sum(
                run.load.added_ms * run.pace for run in self.runs.values()
            )
            for run in list(self.runs.values()):
                run.advance(TICK_S)
                run.load.update_latency(added_ms, TICK_S)
                if self.fails_all_tasks and run.progress_s > self.work_s / 3:
                    self._end(run, "failed")
                elif run.is_done(self.work_s):
                    self._end(run, "done")

    def _end(self, run, end_kind):
        del self.runs[run.task]
        run.finish(end_kind)
        self._end_number += 1
        self._ended.append(
            [
                self._end_number,
                run.task,
                run.number,
                end_kind,
                run.make_checkpoint(),
            ]
        )
        self._unacknowledged[self._end_number] = run
        if end_kind in ("stopped", "done"):
            self._refuse_up_to(run.task, run.number)
        self._changed.set()
        self._changed = trio.Event()

    def _refuse_up_to(self, task, number):
        self._refused_up_to[task] = max(
            number, self._refused_up_to.get(task, 0)
        )

    async def respond(self, req):
        """Return the response to a call of the agent."""
        if self.is_silent:
            await trio.sleep(FOREVER_S)
        if self.unhealthy_calls:
            self.unhealthy_calls -= 1
            return HttpResponse(status=503)
        raw = req.json()
        if req.headers.get("x-expect-instance") != self.worker_id:
            return HttpResponse.of_json({}, status=421)
        call = req.path[1]
        if call != "hold" and self._rng.random() < self.late_probability:
            self.nursery.start_soon(self._execute_late, call, raw)
            await trio.sleep(FOREVER_S)
        return await self._execute(call, raw)

    async def _execute_late(self, call, raw):
        boot_ms = self._boot_ms
        await trio.sleep(self._rng.uniform(0.5, 3.0))
        if boot_ms == self._boot_ms:
            await self._execute(call, raw)

    async def _execute(self, call, raw):
        if raw.get("fencingToken", 0) < self._fence:
            return self._answer(409, reason="fence")
        self._fence = raw.get("fencingToken", 0)
        match call:
            case "run-start":
                return self._start(raw)
            case "run-stop":
                return self._stop(raw)
            case "hold":
                return await self._hold(raw)
            case "pace":
                return self._set_pace(raw)
        raise HttpError(status=404, reason="unknown call")

    def _answer(self, status, **fields):
        return HttpResponse.of_json(
            {"clockMs": self.clock_ms(), "born": self._boot_ms, **fields},
            status=status,
        )

    def _extend_lease(self, raw):
        if raw.get("deadlineMs"):
            limit_ms = self.clock_ms() + HOLD_MAX_MS
            self._lease_deadline_ms = max(
                self._lease_deadline_ms, min(raw["deadlineMs"], limit_ms)
            )

    def _start(self, raw):
        task, number = raw["task"], raw["run"]
        existing = self.runs.get(task)
        if existing is not None and existing.number == number:
            return self._answer(200)
        if number <= self._refused_up_to.get(task, 0) or existing is not None:
            self._extend_lease(raw)
            return self._answer(409, reason="old")
        if raw["deadlineMs"] <= self.clock_ms():
            return self._answer(409, reason="late")
        self._extend_lease(raw)
        run = RunnerRun(
            task=task,
            number=number,
            spec=raw["spec"],
            checkpoint=raw.get("checkpoint", ""),
            worker_id=self.worker_id,
            zone=self.zone,
        )
        self.runs[task] = run
        self.record.append(run)
        return self._answer(200)

    def _stop(self, raw):
        run = self.runs.get(raw["task"])
        if run is not None and run.number <= raw["run"]:
            self._end(run, "stopped")
        self._refuse_up_to(raw["task"], raw["run"])
        return self._answer(200)

    def _set_pace(self, raw):
        run = self.runs.get(raw["task"])
        if run is None or run.number != raw["run"]:
            return self._answer(409, reason="old")
        run.pace = raw["percent"] / 100
        return self._answer(200)

    async def _hold(self, raw):
        self._extend_lease(raw)
        acked_number = raw.get("ackedUpto", 0)
        self._ended = [row for row in self._ended if row[0] > acked_number]
        for number in [
            num for num in self._unacknowledged if num <= acked_number
        ]:
            run = self._unacknowledged.pop(number)
            run.is_acknowledged = not run.is_lease_expired
        if not self._ended:
            with trio.move_on_after(raw.get("waitMs", 0) / 1000):
                await self._changed.wait()
        return self._answer(
            200,
            running=[run.to_row(self.work_s) for run in self.runs.values()],
            ended=self._ended[:500],
        )
