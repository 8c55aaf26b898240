"""Processes, stand-ins and records for the scripts of the third review.

A script starts the project's own programs with the commands of the deploy
file, on loopback addresses and free ports. The platform's store and the
runners are the project's own stand-ins.
"""

import contextlib
import json
import os
import pathlib
import signal
import socket
import subprocess
import tempfile
import time

import trio

from radishlanding.http import ExchangeFailed
from radishlanding.http import HttpClient
from tests.standin.open_platform import serve
from tests.standin.open_platform import serve_until_cancelled
from tests.standin.platform_runner import PlatformRunner
from tests.standin.platform_store import PlatformStore

ROOT = pathlib.Path(__file__).resolve().parent.parent
HOST = "desk.example"
PREFIX = "/jobs/"
SERVICE = "order-desk"
DEADLINE_S = 3.0
START_TIMEOUT_S = 20.0


class Record:
    """Write what was sent, answered and run, with the time of the script."""

    def __init__(self, folder):
        self._file = (pathlib.Path(folder) / "record.txt").open("w")
        self.begun_s = time.monotonic()

    def now_s(self):
        return time.monotonic() - self.begun_s

    def write(self, text):
        self._file.write(f"{self.now_s():8.3f}  {text}\n")
        self._file.flush()


def free_port():
    """Return a port of the loopback address that nothing uses now."""
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return sock.getsockname()[1]


def _toml(value):
    if isinstance(value, bool):
        return str(value).lower()
    if isinstance(value, list):
        return "[" + ", ".join(map(_toml, value)) + "]"
    return json.dumps(value) if isinstance(value, str) else str(value)


class Program:
    """One process of the project, started as the deploy file says."""

    def __init__(self, *, site, program, name, settings):
        self._site = site
        self._program = program
        self.name = name
        self.settings = settings
        self.popen = None
        self.ports = {}
        self.log = []

    @property
    def is_running(self):
        return self.popen is not None and self.popen.poll() is None

    async def start(self):
        self.ports = {}
        path = self._site.folder / f"{self.name}.toml"
        path.write_text(
            "".join(f"{key} = {_toml(v)}\n" for key, v in self.settings.items())
        )
        self.popen = await trio.lowlevel.open_process(
            ["python3", "-S", "-m", f"radishlanding.{self._program}.main", str(path)],
            stdout=subprocess.PIPE,
            stderr=subprocess.STDOUT,
            cwd=ROOT,
            env={**os.environ, "PYTHONPATH": str(ROOT / "target" / "deps")},
        )
        self._site.record.write(f"{self.name} started, pid {self.popen.pid}")
        self._site.nursery.start_soon(self._read_log, self.popen)
        with trio.fail_after(START_TIMEOUT_S):
            while not self.ports:
                await trio.sleep(0.02)

    async def _read_log(self, popen):
        partial = b""
        async for data in popen.stdout:
            *lines, partial = (partial + data).split(b"\n")
            for line in lines:
                self._parse(line.decode(errors="replace"))
        await popen.wait()
        self._site.record.write(f"{self.name} ended, status {popen.returncode}")

    def _parse(self, line):
        self.log.append((self._site.record.now_s(), line))
        pairs = dict(part.partition("=")[::2] for part in line.split())
        if pairs.get("event") == "listening":
            self.ports = pairs

    def rss_mb(self):
        """Return the resident memory in MB of 2^20 bytes, 0 if it has ended."""
        try:
            text = pathlib.Path(f"/proc/{self.popen.pid}/status").read_text()
        except OSError:
            return 0.0
        for line in text.splitlines():
            if line.startswith("VmRSS:"):
                return int(line.split()[1]) / 1024
        return 0.0

    def send(self, signum):
        if self.is_running:
            self._site.record.write(f"{self.name} gets signal {signum}")
            self.popen.send_signal(signum)

    async def kill(self):
        if self.popen is not None:
            self.send(signal.SIGKILL)
            await self.popen.wait()


class Machine:
    """A machine with a runner, which is a stand-in, and a real agent."""

    def __init__(self, *, site, number, runner_class=PlatformRunner):
        name = f"side-{number}"
        self._scope = None
        self._site = site
        self.runner = runner_class(
            worker_id=f"i-{number}",
            zone=f"z{number % 3}",
            pool=SERVICE,
            record=site.runs,
            seed=number,
        )
        self.agent = Program(
            site=site,
            program="vmagent",
            name=name,
            settings={
                "id": name,
                "zone": f"z{number % 3}",
                "store": site.store_address,
                "report_listen": "127.0.0.1:0",
                "seeds": [],
                "peer_port": 1,
                **site.agent_settings,
            },
        )

    async def start(self):
        nursery = self._site.nursery
        self.runner.nursery = nursery
        self._scope = trio.CancelScope()
        self.runner.address = await nursery.start(
            serve_until_cancelled, self.runner, self._scope, "127.0.0.1:0"
        )
        nursery.start_soon(self.runner.run_tasks)
        await self.agent.start()
        nursery.start_soon(self.runner.ping, self)

    @property
    def reports_address(self):
        return self.agent.ports.get("reports", "")


class Site:
    """A small deployment: dispatchers, machines and the platform's store."""

    def __init__(self, *, folder, record):
        self.agent_settings = {}
        self.dispatchers = []
        self.folder = folder
        self.machines = []
        self.nursery = None
        self.record = record
        self.runs = []
        self.store = PlatformStore(seed=1)
        self.store_address = ""
        self.version = 0

    @classmethod
    @contextlib.asynccontextmanager
    async def open(cls, folder, *, max_s):
        """Open a site with its store; end all processes on exit."""
        record = Record(folder)
        with tempfile.TemporaryDirectory(prefix="review-") as temporary:
            site = cls(folder=pathlib.Path(temporary), record=record)
            with trio.fail_after(max_s):
                async with trio.open_nursery() as nursery:
                    site.nursery = site.store.nursery = nursery
                    try:
                        site.store_address = await serve(nursery, site.store)
                        nursery.start_soon(site.store.sweep)
                        yield site
                    finally:
                        with trio.CancelScope(shield=True):
                            for program in site.programs():
                                await program.kill()
                    nursery.cancel_scope.cancel()

    def programs(self):
        return [*self.dispatchers, *(machine.agent for machine in self.machines)]

    def set_config(self, *routes, limits=None, **service):
        """Write a newer config, with the routes beside the usual one."""
        self.version += 3
        route = {
            "name": "q",
            "host": HOST,
            "prefix": PREFIX,
            "service": SERVICE,
            "maxAttempts": 3,
            "stretch": 2.0,
            "targetLatencyMs": 1000,
            "priority": 0,
        }
        self.store.put_json(
            "op/config",
            {
                "version": self.version,
                "routes": [route, *({**route, **item} for item in routes)],
                "services": [
                    {"name": SERVICE, "enforcesCapacity": False, **service}
                ],
                "limits": limits or {},
            },
        )
        self.record.write(f"config {self.version} is acknowledged")

    def add_dispatcher(self, **settings):
        number = len(self.dispatchers)
        self.dispatchers.append(
            Program(
                site=self,
                program="dispatcher",
                name=f"front-{number}",
                settings={
                    "id": f"front-{number}",
                    "zone": f"z{number % 3}",
                    "store": self.store_address,
                    "http_listen": "127.0.0.1:0",
                    "ready_listen": "127.0.0.1:0",
                    "peer_listen": f"127.0.0.1:{free_port()}",
                    **settings,
                },
            )
        )
        return self.dispatchers[-1]

    def add_machine(self, runner_class=PlatformRunner):
        self.machines.append(
            Machine(
                site=self,
                number=len(self.machines),
                runner_class=runner_class,
            )
        )
        return self.machines[-1]

    async def start(self):
        async with trio.open_nursery() as starting:
            for part in (*self.dispatchers, *self.machines):
                starting.start_soon(part.start)

    def client(self, dispatcher):
        return Client(site=self, dispatcher=dispatcher)


class Client:
    """A client with a channel of its own to one dispatcher."""

    def __init__(self, *, site, dispatcher):
        self._address = ""
        self._client = None
        self._dispatcher = dispatcher
        self._site = site

    async def send(self, method, path, body=b"", *, prefix=PREFIX, note=""):
        """Send a request; return status and value, (0, None) for no answer."""
        address = self._dispatcher.ports.get("http", "")
        if not self._dispatcher.is_running or not address:
            return 0, None
        if address != self._address:
            self._address = address
            self._client = HttpClient(address=address)
        started_s = time.monotonic()
        status, value = 0, None
        try:
            answer = await self._client.send(
                method,
                prefix + path,
                body=body,
                headers=[
                    ("host", HOST),
                    ("content-type", "application/json"),
                    ("x-deadline-ms", str(int(DEADLINE_S * 1000))),
                ],
                timeout_s=DEADLINE_S,
            )
            status = answer.status
            with contextlib.suppress(ValueError):
                value = answer.json()
        except ExchangeFailed:
            pass
        took_ms = int((time.monotonic() - started_s) * 1000)
        self._site.record.write(
            f"{method} {prefix}{path} {note or len(body)} at"
            f" {self._dispatcher.name}: {status or 'no answer'}"
            f" {json.dumps(value)[:80] if value else ''} after {took_ms} ms"
        )
        return status, value

    async def submit(self, name, steps, **fields):
        body = json.dumps(
            {"spec": "work", "steps": steps, **fields}, separators=(",", ":")
        ).encode()
        return (await self.send("POST", name, body))[0]

    async def state(self, name):
        status, value = await self.send("GET", name)
        if status == 410:
            return "absent"
        return value["state"] if status == 200 else ""
