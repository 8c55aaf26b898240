"""Stand-ins and process control for the review cases.

A site is one store, some dispatchers, and some machines with a runner and an
agent. The dispatchers and agents are the project's own programs, started with
the commands of the deploy file. Store, runners and clients are stand-ins.
"""

import itertools
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time

import trio

from radishlanding.http import ExchangeFailed
from radishlanding.http import HttpClient
from radishlanding.http import HttpResponse
from radishlanding.http import HttpServer
from tests.standin.platform_store import PlatformStore

# An address of its own for each run, so that runs do not share ports.
IP = f"127.{1 + os.getpid() // 250 % 250}.{1 + os.getpid() % 250}.1"
ROOT = pathlib.Path(__file__).resolve().parent.parent
HOST = "desk.example"
PREFIX = "/jobs/"
POOL = "order-desk"
CONTACT_S = 3.0
CANCEL_S = 3.0
DRAIN_S = 2.0
STOP_S = 0.2
HOLD_MAX_MS = 10_000
PING_INTERVAL_S = 1.1
PING_TIMEOUT_S = 1.0
ENDS_PER_LIST = 500
FOREVER_S = 3600.0
PASS, BROKEN, COULD_NOT_RUN = 0, 1, 2


class CouldNotRun(Exception):
    """The case could not be played."""


class Record:
    """Write what was sent, answered and run, with the time in seconds."""

    def __init__(self, path):
        self._file = open(path, "w", encoding="utf-8")
        self._start_s = time.monotonic()

    def now(self):
        return time.monotonic() - self._start_s

    def add(self, event, **fields):
        text = " ".join(f"{key}={value}" for key, value in fields.items())
        self._file.write(f"{self.now():9.3f} {event} {text}\n")
        self._file.flush()


_ports = itertools.count(21_000)


def free_port():
    """Return a port that is free on the loopback address of this run."""
    for port in _ports:
        with socket.socket() as sock:
            try:
                sock.bind((IP, port))
            except OSError:
                continue
            return port


async def serve(nursery, handler, port):
    """Serve a handler on a loopback port until the nursery ends."""

    async def run(task_status=trio.TASK_STATUS_IGNORED):
        await HttpServer(handler=handler).run(
            host=IP, port=port, task_status=task_status
        )

    await nursery.start(run)


class Program:
    """One process of the project, started as the deploy file says."""

    def __init__(self, site, name, module, settings):
        self.name = name
        self._site = site
        self._module = module
        self._path = site.folder / f"{name}.toml"
        self._log = site.folder / f"{name}.log"
        self._settings = settings
        self._popen = None

    def start(self):
        self._path.write_text(
            "".join(
                f"{key} = {json.dumps(value)}\n"
                for key, value in self._settings.items()
            )
        )
        env = {
            key: os.environ[key]
            for key in ("PATH", "HOME", "LANG")
            if key in os.environ
        }
        env["PYTHONPATH"] = str(ROOT / "target" / "deps")
        with open(self._log, "ab") as log:
            self._popen = subprocess.Popen(
                ["python3", "-S", "-m", self._module, str(self._path)],
                cwd=ROOT,
                env=env,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=subprocess.STDOUT,
            )
        self._site.record.add("process_started", name=self.name)

    @property
    def is_running(self):
        return self._popen is not None and self._popen.poll() is None

    def kill(self):
        if self.is_running:
            self._popen.send_signal(signal.SIGKILL)
            self._popen.wait()
            self._site.record.add("process_killed", name=self.name)


class Run:
    """A start that a runner has carried out."""

    def __init__(self, runner, raw, work_s):
        self.runner = runner
        self.task = raw["task"]
        self.number = raw["run"]
        self.started_s = runner.record.now()
        self.work_s = work_s
        self.ended_s = None
        self.how = ""
        self.end_number = 0
        self.noted_s = None

    @property
    def has_lapsed_unnoted(self):
        """Return whether the lease lapsed between end and note."""
        return any(
            self.ended_s <= lapse_s <= self.noted_s
            for lapse_s in self.runner.lapses_s
        )

    def percent(self):
        passed_s = self.runner.record.now() - self.started_s
        return min(100, int(100 * passed_s / self.work_s))


class Runner:
    """A runner as the pages describe it.

    ``work_s`` is a callable from the name of a task to its duration.
    ``late_share`` is the share of the orders that get no answer and are
    carried out 2 to 12 s later.
    """

    def __init__(self, site, name, *, work_s, cpu=64_000, mem_mb=250_000):
        self._site = site
        self.record = site.record
        self.worker_id = f"i-{name}"
        self.name = name
        self.zone = f"z-{name}"
        self.port = free_port()
        self.address = f"{IP}:{self.port}"
        self.control = ""
        self.work_s = work_s
        self.capacity = {"cpu": cpu, "memMb": mem_mb, "gpu": 0}
        self.late_share = 0.0
        self.is_draining = False
        self.drain_acked_s = None
        # Times at which the lease of the runner has lapsed.
        self.lapses_s = []
        self.rng = random.Random(name)
        self._scope = None
        self.is_up = False
        self.is_dark = False

    async def boot(self):
        """Start with no run, no fence and a clock of its own."""
        self._born_ms = int(time.time() * 1000)
        self._boot_s = time.monotonic()
        self._sequence = 0
        self._fence = 0
        self._deadline_ms = 0
        self._refused = {}
        self._runs = {}
        self._ended = []
        self._end_number = 0
        self._changed = trio.Event()
        self._scope = trio.CancelScope()
        self._has_lease = False
        self.is_up = True
        self.is_dark = False
        self.record.add("runner_booted", runner=self.worker_id)
        await self._site.nursery.start(self._live, self._scope)

    async def _live(self, scope, task_status=trio.TASK_STATUS_IGNORED):
        with scope:
            async with trio.open_nursery() as nursery:
                await serve(nursery, self, self.port)
                nursery.start_soon(self._ping)
                nursery.start_soon(self._work)
                task_status.started()

    def crash(self):
        """Lose everything that runs; the port refuses connections."""
        self._scope.cancel()
        self._lose_runs()

    def go_dark(self):
        """Crash silently: connections stay open and nothing answers."""
        self.is_dark = True
        self._lose_runs()

    async def boot_again(self):
        """End the silence with a new boot at the same address."""
        self._scope.cancel()
        await trio.sleep(0.1)
        await self.boot()

    def _lose_runs(self):
        self.is_up = False
        for run in self._runs.values():
            run.ended_s, run.how = self.record.now(), "lost"
            self.record.add(
                "run_ended", task=run.task, run=run.number, how="lost"
            )
        self._runs = {}
        self.record.add("runner_crashed", runner=self.worker_id)

    def clock_ms(self):
        return int((time.monotonic() - self._boot_s) * 1000)

    async def _ping(self):
        while True:
            await self.ping_once()
            await trio.sleep(PING_INTERVAL_S)

    async def ping_once(self):
        if self.is_dark:
            return
        self._sequence += 1
        state = "draining" if self.is_draining else "ready"
        body = {
            "service": POOL,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "capacity": 8,
            "state": state,
            "coldLeftMs": 0,
            "freeCapacity": self.capacity,
            "labels": ["a", f"r-{self.name}"],
            "clockMs": self.clock_ms(),
            "sequence": self._sequence,
            "born": self._born_ms,
        }
        if self.is_draining:
            body["remainingMs"] = 20_000
        client = HttpClient(address=self.control)
        try:
            response = await client.send(
                "PUT",
                f"/-/instances/{self.worker_id}",
                body=json.dumps(body).encode(),
                headers=[("content-type", "application/json")],
                timeout_s=PING_TIMEOUT_S,
            )
        except ExchangeFailed:
            return
        finally:
            await client.close()
        if response.status == 200 and state == "draining":
            if self.drain_acked_s is None:
                self.drain_acked_s = self.record.now()
                self.record.add("drain_acked", runner=self.worker_id)

    async def _work(self):
        while True:
            await trio.sleep(0.01)
            if self.clock_ms() > self._deadline_ms:
                self._lapse()
            now_s = self.record.now()
            for run in list(self._runs.values()):
                if now_s - run.started_s >= run.work_s:
                    self._end(run, "done")

    def _lapse(self):
        if self._has_lease:
            self.lapses_s.append(self.record.now())
            self.record.add("lease_lapsed", runner=self.worker_id)
        self._has_lease = False
        for run in list(self._runs.values()):
            self._end(run, "lapsed")

    def _end(self, run, how):
        del self._runs[run.task]
        run.ended_s, run.how = self.record.now(), how
        self._end_number += 1
        run.end_number = self._end_number
        self._ended.append(run)
        self._refuse(run.task, run.number)
        self.record.add(
            "run_ended",
            task=run.task,
            run=run.number,
            how=how,
            n=run.end_number,
            runner=self.worker_id,
        )
        self._changed.set()
        self._changed = trio.Event()

    def _refuse(self, task, number):
        self._refused[task] = max(number, self._refused.get(task, 0))

    async def respond(self, req):
        if self.is_dark:
            await trio.sleep(FOREVER_S)
        raw = req.json()
        call = req.path[1]
        if req.headers.get("x-expect-instance") != self.worker_id:
            return HttpResponse.of_json({}, status=421)
        if call in ("run-start", "run-stop"):
            if self.rng.random() < self.late_share:
                born_ms = self._born_ms
                self.record.add(
                    "order_late", call=call, task=raw["task"], run=raw["run"]
                )
                self._site.nursery.start_soon(
                    self._execute_late, call, raw, born_ms
                )
                await trio.sleep(FOREVER_S)
        return await self._execute(call, raw, late=False)

    async def _execute_late(self, call, raw, born_ms):
        await trio.sleep(self.rng.uniform(2.0, 12.0))
        if self.is_up and born_ms == self._born_ms:
            await self._execute(call, raw, late=True)

    async def _execute(self, call, raw, *, late):
        fence = raw.get("fencingToken", 0)
        if fence < self._fence:
            return self._answer(409, reason="fence")
        self._fence = fence
        if call == "run-start":
            return self._start(raw, late)
        if call == "run-stop":
            return self._stop(raw)
        if call == "hold":
            return await self._hold(raw)
        if call == "pace":
            return self._answer(200)
        return HttpResponse(status=404)

    def _answer(self, status, **fields):
        return HttpResponse.of_json(
            {"clockMs": self.clock_ms(), "born": self._born_ms, **fields},
            status=status,
        )

    def _extend(self, deadline_ms):
        if deadline_ms:
            limit_ms = self.clock_ms() + HOLD_MAX_MS
            self._deadline_ms = max(
                self._deadline_ms, min(deadline_ms, limit_ms)
            )
            self._has_lease = True

    def _start(self, raw, late):
        task, number = raw["task"], raw["run"]
        existing = self._runs.get(task)
        if existing is not None and existing.number == number:
            return self._answer(200)
        if existing is not None or number <= self._refused.get(task, 0):
            self._extend(raw["deadlineMs"])
            return self._answer(409, reason="old")
        if raw["deadlineMs"] <= self.clock_ms():
            return self._answer(409, reason="late")
        job, occurrence, number, _ = task.split(".")
        if job in self._site.advised_jobs and not self._site.advisor.is_valid(
            raw.get("ticket", ""),
            f"{job}.{occurrence}.{number}",
            self.worker_id,
        ):
            return self._answer(409, reason="ticket")
        self._extend(raw["deadlineMs"])
        run = Run(self, raw, self.work_s(task))
        self._runs[task] = run
        self._site.runs.append(run)
        self.record.add(
            "run_started",
            task=task,
            run=number,
            runner=self.worker_id,
            late=late,
        )
        run.was_late = late
        return self._answer(200)

    def _stop(self, raw):
        run = self._runs.get(raw["task"])
        self._refuse(raw["task"], raw["run"])
        if run is not None and run.number <= raw["run"]:
            self._end(run, "stopped")
        return self._answer(200)

    async def _hold(self, raw):
        self._extend(raw.get("deadlineMs"))
        acked = raw.get("ackedUpto", 0)
        kept = []
        for run in self._ended:
            if run.end_number <= acked:
                run.noted_s = self.record.now()
                self.record.add(
                    "end_noted", task=run.task, run=run.number, how=run.how
                )
            else:
                kept.append(run)
        self._ended = kept
        if not self._ended:
            with trio.move_on_after(raw.get("waitMs", 0) / 1000):
                await self._changed.wait()
        return self._answer(
            200,
            running=[
                [run.task, run.number, "", run.percent(), 0.0]
                for run in self._runs.values()
            ],
            ended=[
                [run.end_number, run.task, run.number, run.how, ""]
                for run in self._ended[:ENDS_PER_LIST]
            ],
        )


class Advisor:
    """The service that knows which runners may run a step.

    It permits all of them, and answers one call at a time.
    """

    def __init__(self, record, *, decide_ms, each_ms, valid_ms):
        self._record = record
        self._decide_ms = decide_ms
        self._each_ms = each_ms
        self._lock = trio.Lock()
        self._next_number = 1
        self.valid_ms = valid_ms
        # Step, runner and time of each ticket.
        self._tickets = {}

    def is_valid(self, ticket, step, worker_id):
        """Return whether a runner has to accept a ticket."""
        issued = self._tickets.get(ticket)
        if issued is None or issued[:2] != (step, worker_id):
            return False
        return self._record.now() - issued[2] <= self.valid_ms / 1000

    async def respond(self, req):
        raw = req.json()
        workers = raw["workers"]
        async with self._lock:
            took_ms = self._decide_ms + self._each_ms * len(workers)
            await trio.sleep(took_ms / 1000)
            rows = []
            for worker_id in workers:
                ticket = f"t-{self._next_number}"
                self._next_number += 1
                self._tickets[ticket] = (
                    raw["step"],
                    worker_id,
                    self._record.now(),
                )
                rows.append([worker_id, ticket])
        self._record.add("advised", step=raw["step"], good=json.dumps(rows))
        return HttpResponse.of_json({"good": rows, "validMs": self.valid_ms})


class Site:
    """A small deployment."""

    def __init__(
        self, case_folder, *, dispatchers, machines, work_s, advice=None
    ):
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.record = Record(pathlib.Path(case_folder) / "record.txt")
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.nursery = None
        self.runs = []
        self.store = PlatformStore(seed=1)
        self.dispatchers = []
        self.fronts = []
        self.agents = []
        self._work_s = work_s
        self.advice = advice
        self.advisor = None
        # Prefixes of the queues that require advice.
        self.advised_jobs = set()
        self._counts = dispatchers, machines
        self.runners = []

    async def start(self, nursery):
        self.nursery = self.store.nursery = nursery
        store_port = free_port()
        store = f"{IP}:{store_port}"
        await serve(nursery, self.store, store_port)
        nursery.start_soon(self.store.sweep)
        self.write_config()
        advisor = {}
        if self.advice is not None:
            self.advisor = Advisor(self.record, **self.advice)
            port = free_port()
            await serve(nursery, self.advisor, port)
            advisor = {"advisor": f"{IP}:{port}"}
        for index in range(self._counts[0]):
            front, ready, peer = free_port(), free_port(), free_port()
            self.fronts.append(f"{IP}:{front}")
            self.dispatchers.append(
                Program(
                    self,
                    f"front-{index + 1}",
                    "radishlanding.dispatcher.main",
                    {
                        "id": f"front-{index + 1}",
                        "zone": f"zone-{index + 1}",
                        "store": store,
                        "http_listen": f"{IP}:{front}",
                        "ready_listen": f"{IP}:{ready}",
                        "peer_listen": f"{IP}:{peer}",
                        "cpu_share": 0.537,
                        "cores": 2,
                        "link_mbps": 1000.0,
                        "hold_max_ms": HOLD_MAX_MS,
                        **advisor,
                    },
                )
            )
        for index in range(self._counts[1]):
            control = free_port()
            runner = Runner(self, f"m{index + 1}", work_s=self._work_s)
            runner.control = f"{IP}:{control}"
            self.runners.append(runner)
            self.agents.append(
                Program(
                    self,
                    f"side-{index + 1}",
                    "radishlanding.vmagent.main",
                    {
                        "id": f"side-{index + 1}",
                        "zone": runner.zone,
                        "store": store,
                        "report_listen": runner.control,
                        "seeds": [],
                        "peer_port": 7720,
                        "hold_max_ms": HOLD_MAX_MS,
                    },
                )
            )
        for program in self.programs():
            program.start()
        for runner in self.runners:
            await runner.boot()

    def programs(self):
        return [*self.dispatchers, *self.agents]

    def write_config(self, *, version=4, **advised_route):
        """Write a config as the operator does.

        :param advised_route: Fields of a second route, none for no such route.
        """
        route = {
            "name": "q",
            "host": HOST,
            "prefix": PREFIX,
            "kind": "non_idempotent",
            "timeoutMs": 3000,
            "service": POOL,
            "maxAttempts": 3,
            "stretch": 2.0,
            "targetLatencyMs": 1000,
            "priority": 0,
        }
        routes = [route]
        if advised_route:
            routes.append(route | advised_route)
        self.store.put_json(
            "op/config",
            {
                "version": version,
                "routes": routes,
                "services": [{"name": POOL, "enforcesCapacity": False}],
                "limits": {"maxBodyBytes": 262_144},
            },
        )
        self.record.add("config", version=version, routes=json.dumps(routes))

    def close(self):
        for program in self.programs():
            program.kill()
        if os.environ.get("KEEP_LOGS"):
            print(self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)

    async def call(
        self,
        method,
        path,
        *,
        front=0,
        body=None,
        timeout_s=3.0,
        prefix=PREFIX,
    ):
        """Send one client request; return status and body, (0, {}) if none."""
        client = HttpClient(address=self.fronts[front])
        self.record.add("sent", method=method, path=path, front=front + 1)
        try:
            response = await client.send(
                method,
                prefix + path,
                body=b"" if body is None else json.dumps(body).encode(),
                headers=[
                    ("host", HOST),
                    ("content-type", "application/json"),
                    ("x-deadline-ms", str(int(timeout_s * 1000))),
                ],
                timeout_s=timeout_s,
            )
        except ExchangeFailed as exc:
            self.record.add("no_answer", method=method, path=path, why=exc)
            return 0, {}
        finally:
            await client.close()
        data = response.json() if response.body else {}
        self.record.add(
            "answered",
            method=method,
            path=path,
            status=response.status,
            body=json.dumps(data),
        )
        return response.status, data

    async def submit(
        self, name, steps, *, timeout_s=20.0, prefix=PREFIX, **fields
    ):
        """Submit a job until it is accepted."""
        body = {"spec": f"spec of {name}", "steps": steps, **fields}
        with trio.move_on_after(timeout_s):
            front = 0
            while True:
                status, _ = await self.call(
                    "POST", name, front=front, body=body, prefix=prefix
                )
                if status == 200:
                    return
                front = (front + 1) % len(self.fronts)
                await trio.sleep(0.3)
        raise CouldNotRun(f"job {name} was not accepted")

    async def state(self, name, front=0):
        """Return the shown state of a job, or an empty string."""
        status, data = await self.call("GET", name, front=front)
        return data.get("state", "") if status == 200 else ""

    async def wait_state(self, name, states, *, timeout_s):
        """Wait until a job is shown in one of some states."""
        front = 0
        with trio.move_on_after(timeout_s):
            while True:
                found = await self.state(name, front)
                if found in states:
                    return found
                front = (front + 1) % len(self.fronts)
                await trio.sleep(0.25)
        raise CouldNotRun(f"job {name} is not shown as {states}")

    async def warm_up(self):
        """Run one job to its end, so that every part is known to work."""
        await self.submit("00000000000000aa", [step(1)])
        await self.wait_state(
            "00000000000000aa", ("completed",), timeout_s=20.0
        )
        await trio.sleep(CONTACT_S + 0.5)

    def runs_of(self, job):
        return [run for run in self.runs if run.task.startswith(f"{job}.")]


def step(count, **fields):
    """Return a step of a job."""
    return {"count": count, "cpu": 50, "memMb": 100, "estimatedMs": 1000} | (
        fields
    )


def play(case_file, scenario, **options):
    """Run a scenario; exit with 0 (kept), 1 (broken) or 2 (could not run)."""
    limit_s = 115.0

    async def main():
        site = Site(pathlib.Path(case_file).resolve().parent, **options)
        verdict = COULD_NOT_RUN
        try:
            with trio.move_on_after(limit_s) as scope:
                async with trio.open_nursery() as nursery:
                    await site.start(nursery)
                    findings = await scenario(site)
                    nursery.cancel_scope.cancel()
                for finding in findings[:20]:
                    site.record.add("rule_broken", what=finding)
                    print(f"BROKEN: {finding}")
                print(f"{len(findings)} findings")
                verdict = BROKEN if findings else PASS
            if scope.cancelled_caught:
                print("could not run: out of time")
        except* CouldNotRun as group:
            print(f"could not run: {group.exceptions[0]!r}")
        finally:
            site.close()
        return verdict

    sys.exit(trio.run(main))
