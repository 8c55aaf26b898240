"""Stand-in for a runner of the platform."""

import contextlib
import json
import time

import trio

from radishlanding.http import ExchangeFailed
from radishlanding.http import HttpClient
from radishlanding.http import HttpResponse
from radishlanding.http import HttpServer

HEARTBEAT_S = 1.5
HOLD_MAX_MS = 10_000
MAX_ENDS = 500
TICK_S = 0.01
SAVE_S = 0.5


class Run:
    """One run of a task."""

    def __init__(self, raw, *, worker_id, now_s):
        self.task = raw["task"]
        self.number = raw["run"]
        self.spec = raw["spec"]
        self.worker_id = worker_id
        self.started_s = now_s
        self.ended_s = None
        self.how = ""
        words = self.spec.split()
        self.work_s = float(words[1])
        self.saved_chars = int(words[3]) if len(words) > 3 else 0
        self.checkpoint = raw.get("checkpoint", "")
        # Work that the checkpoint holds.
        self.work_before_s = int(self.checkpoint[:8] or "0", 16) / 1000


class Runner:
    """Run tasks under one lease, as the page on running tasks says.

    The spec ``work S`` is S seconds of work; with ``save N`` behind it a task
    saves a checkpoint of N characters with each half second of it.
    """

    def __init__(
        self,
        *,
        worker_id,
        zone,
        pool,
        record,
        rack,
        address,
        control,
        checks_tickets,
    ):
        self.worker_id = worker_id
        self.address = address
        self.control = control
        self.capacity = {"cpu": 64000, "memMb": 256000, "gpu": 0}
        self.labels = ["a", rack]
        self.zone = zone
        self.pool = pool
        self.history = []
        self._record = record
        self._checks_tickets = checks_tickets
        self._changed = trio.Event()
        self._born_ms = int(time.time() * 1000)
        self._boot_s = time.monotonic()
        self._sequence = 0
        self._fence = 0
        self._deadline_ms = 0
        self._running = {}
        self._ended = []
        self._end_number = 0
        self._closed = {}

    def clock_ms(self):
        return int((time.monotonic() - self._boot_s) * 1000)

    async def open(self, nursery):
        """Listen, and begin to ping."""
        host, _, port = self.address.rpartition(":")
        server = HttpServer(handler=self)

        async def run(task_status=trio.TASK_STATUS_IGNORED):
            await server.run(
                host=host, port=int(port), task_status=task_status
            )

        await nursery.start(run)
        nursery.start_soon(self._ping)
        nursery.start_soon(self._work)

    async def _ping(self):
        while True:
            client = HttpClient(address=self.control)
            self._sequence += 1
            body = {
                "service": self.pool,
                "address": self.address,
                "zone": self.zone,
                "version": "v1",
                "capacity": 8,
                "state": "ready",
                "coldLeftMs": 0,
                "freeCapacity": self.capacity,
                "labels": self.labels,
                "clockMs": self.clock_ms(),
                "sequence": self._sequence,
                "born": self._born_ms,
            }
            is_taken = False
            with contextlib.suppress(ExchangeFailed):
                answer = await client.send(
                    "PUT",
                    f"/-/instances/{self.worker_id}",
                    body=json.dumps(body).encode(),
                    timeout_s=1.0,
                )
                is_taken = answer.status == 200
            await client.close()
            await trio.sleep(HEARTBEAT_S if is_taken else 0.2)

    async def _work(self):
        while True:
            await trio.sleep(TICK_S)
            if self.clock_ms() > self._deadline_ms:
                for run in list(self._running.values()):
                    self.end(run, "lapsed")
            for run in list(self._running.values()):
                worked_s = time.monotonic() - run.started_s
                if run.work_before_s + worked_s >= run.work_s:
                    self.end(run, "done")

    def end(self, run, how):
        """End a run that is at work."""
        if self._running.get(run.task) is not run:
            return
        del self._running[run.task]
        run.ended_s, run.how = time.monotonic(), how
        self._end_number += 1
        saved = "" if how == "done" else self._saved(run)
        self._ended.append(
            [self._end_number, run.task, run.number, how, saved]
        )
        if how in ("stopped", "done", "failed", "broken", "alone", "lapsed"):
            self._close(run.task, run.number)
        self._record.line(
            f"run ends {run.task} run {run.number} {how} on {self.worker_id}"
        )
        self._changed.set()
        self._changed = trio.Event()

    def _saved(self, run):
        """Return the checkpoint of a run: its work in ms, and its state."""
        worked_s = run.work_before_s + time.monotonic() - run.started_s
        # A new value with each checkpointS of work.
        saved_s = int(worked_s / SAVE_S) * SAVE_S
        if not run.saved_chars or saved_s <= 0:
            return run.checkpoint
        return f"{int(1000 * saved_s):08x}".ljust(run.saved_chars, "0")

    def _close(self, task, number):
        self._closed[task] = max(number, self._closed.get(task, 0))

    async def respond(self, req):
        """Return the answer to a call."""
        if req.method == "GET":
            return HttpResponse(status=200)
        if req.headers.get("x-expect-instance") != self.worker_id:
            return self._answer(421)
        raw = req.json()
        call = req.path[1]
        if raw.get("fencingToken", 0) < self._fence:
            return self._answer(409, reason="fence")
        self._fence = raw.get("fencingToken", 0)
        if call == "run-start":
            return self._start(raw)
        if call == "run-stop":
            run = self._running.get(raw["task"])
            if run is not None and run.number <= raw["run"]:
                self.end(run, "stopped")
            self._close(raw["task"], raw["run"])
            return self._answer(200)
        if call == "hold":
            return await self._hold(raw)
        if call == "pace":
            run = self._running.get(raw["task"])
            is_known = run is not None and run.number == raw["run"]
            return self._answer(200 if is_known else 409)
        return self._answer(404)

    def _answer(self, status, **fields):
        return HttpResponse.of_json(
            {"clockMs": self.clock_ms(), "born": self._born_ms, **fields},
            status=status,
        )

    def _extend(self, raw):
        if raw.get("deadlineMs"):
            latest_ms = self.clock_ms() + HOLD_MAX_MS
            self._deadline_ms = max(
                self._deadline_ms, min(raw["deadlineMs"], latest_ms)
            )

    def _start(self, raw):
        task, number = raw["task"], raw["run"]
        known = self._running.get(task)
        if known is not None and known.number == number:
            return self._answer(200)
        if known is not None or number <= self._closed.get(task, 0):
            self._extend(raw)
            return self._answer(409, reason="old")
        if raw["deadlineMs"] <= self.clock_ms():
            return self._answer(409, reason="late")
        if self._checks_tickets and not raw.get("ticket"):
            return self._answer(409, reason="ticket")
        self._extend(raw)
        run = Run(raw, worker_id=self.worker_id, now_s=time.monotonic())
        self._running[task] = run
        self.history.append(run)
        self._record.line(
            f"run starts {task} run {number} on {self.worker_id}"
        )
        return self._answer(200)

    async def _hold(self, raw):
        self._extend(raw)
        acked = raw.get("ackedUpto", 0)
        self._ended = [row for row in self._ended if row[0] > acked]
        if not self._ended and raw.get("waitMs"):
            with trio.move_on_after(raw["waitMs"] / 1000):
                await self._changed.wait()
        running = []
        for run in self._running.values():
            worked_s = time.monotonic() - run.started_s
            share = min(1.0, worked_s / max(run.work_s, 0.01))
            saved = self._saved(run)
            running.append([run.task, run.number, saved, int(100 * share), 0])
        return self._answer(200, running=running, ended=self._ended[:MAX_ENDS])
