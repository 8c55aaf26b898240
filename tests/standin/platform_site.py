"""A site of real dispatchers and agents on a fake platform."""

import contextlib
import json
import pathlib
import tempfile

import trio

from radishlanding.http import ExchangeFailed
from radishlanding.http import HttpClient
from tests.standin.open_platform import serve
from tests.standin.platform_machine import PlatformMachine
from tests.standin.platform_store import PlatformStore
from tests.standin.process import Process
from tests.standin.proxy import Proxy
from tests.standin.slow_link import SlowLink
from tests.standin.submission import Submission

HOST = "desk.example"
PREFIX = "/jobs/"
POOL = "order-desk"
READY_TIMEOUT_S = 15.0
POLL_INTERVAL_S = 0.05
DEADLINE_S = 3.0


class PlatformSite:
    """Run dispatchers, machines and a store, with proxies between."""

    __slots__ = (
        "_clients",
        "config_version",
        "agent_settings",
        "compress_log",
        "cpu_shares",
        "dispatcher_settings",
        "dispatchers",
        "folder",
        "limits",
        "link_mbps",
        "machines",
        "nursery",
        "peer_proxies",
        "record",
        "store",
        "store_address",
        "store_proxies",
        "submissions",
    )

    def __init__(
        self,
        *,
        folder,
        dispatchers=2,
        machines=3,
        seed=1,
        cpu_shares=None,
        link_mbps=None,
        compress_log=True,
        limits=None,
        dispatcher_settings=None,
        agent_settings=None,
    ):
        """Prepare a site.

        :param folder: Folder for settings and logs.
        :param dispatchers: Number of dispatchers.
        :param machines: Number of machines with a runner.
        :param seed: Seed of the random faults.
        :param cpu_shares: Cores of each dispatcher; None gives each a whole
            core.
        :param link_mbps: Bandwidth of each dispatcher's link to the store and
            the agents, in megabits per second; None for no limit.
        :param compress_log: Setting of the dispatchers.
        :param limits: The operator's limits to clients, by key.
        :param dispatcher_settings: Further settings of the dispatchers.
        :param agent_settings: Further settings of the agents.
        """
        self._clients = {}
        self.agent_settings = agent_settings or {}
        self.dispatcher_settings = dispatcher_settings or {}
        self.limits = limits or {}
        self.compress_log = compress_log
        self.folder = folder
        self.link_mbps = link_mbps
        self.nursery = None
        self.record = []
        self.cpu_shares = cpu_shares or [1.0] * dispatchers
        self.submissions = []
        self.store = PlatformStore(seed=seed)
        self.store_address = ""
        self.config_version = 0
        self.dispatchers = [
            Process(program="dispatcher", name=f"front-{index}", folder=folder)
            for index in range(dispatchers)
        ]
        self.peer_proxies = [Proxy() for _ in self.dispatchers]
        self.store_proxies = [Proxy() for _ in self.dispatchers]
        self.machines = [
            PlatformMachine(
                name=f"m{index}",
                zone=f"z{index % 2}",
                site=self,
                seed=seed * 100 + index,
            )
            for index in range(machines)
        ]

    @classmethod
    @contextlib.asynccontextmanager
    async def open(cls, **options):
        """Start a site; kill its processes on exit."""
        with tempfile.TemporaryDirectory(prefix="radishlanding-") as folder:
            site = cls(folder=pathlib.Path(folder), **options)
            async with trio.open_nursery() as nursery:
                site.nursery = site.store.nursery = nursery
                try:
                    await site._start()
                    yield site
                finally:
                    with trio.CancelScope(shield=True):
                        for process in site.processes():
                            await process.kill()
                nursery.cancel_scope.cancel()

    def processes(self):
        """Return all processes under test."""
        return [*self.dispatchers, *(m.agent for m in self.machines)]

    async def serve(self, handler):
        """Serve a handler on a free port; return its address."""
        return await serve(self.nursery, handler)

    async def _start(self):
        self.store_address = await self.serve(self.store)
        self.nursery.start_soon(self.store.sweep)
        self.set_config()
        for proxy in self.store_proxies:
            proxy.upstream = self.store_address
        for proxy in (*self.store_proxies, *self.peer_proxies):
            await proxy.start(self.nursery)
        if self.link_mbps is not None:
            self._limit_bandwidth()
        async with trio.open_nursery() as starting:
            for index in range(len(self.dispatchers)):
                starting.start_soon(self.start_dispatcher, index)
            for machine in self.machines:
                starting.start_soon(machine.start)
        await self.wait_ready()

    def _limit_bandwidth(self):
        for store_proxy, peer_proxy in zip(
            self.store_proxies, self.peer_proxies, strict=True
        ):
            sent = SlowLink(mbps=self.link_mbps)
            received = SlowLink(mbps=self.link_mbps)
            store_proxy.up_link = peer_proxy.down_link = sent
            store_proxy.down_link = peer_proxy.up_link = received

    async def start_dispatcher(self, index):
        """Start a dispatcher."""
        process = self.dispatchers[index]
        link = {"link_mbps": self.link_mbps} if self.link_mbps else {}
        await process.start(
            self.nursery,
            {
                "id": process.name,
                "zone": f"z{index % 2}",
                "store": self.store_proxies[index].address,
                "http_listen": "127.0.0.1:0",
                "ready_listen": "127.0.0.1:0",
                "peer_listen": "127.0.0.1:0",
                "peer_advertise": self.peer_proxies[index].address,
                "vm_lease_s": 4.0,
                "owner_grace_s": 3.0,
                "cpu_share": self.cpu_shares[index],
                "compress_log": self.compress_log,
                **link,
                **self.dispatcher_settings,
            },
        )
        self.peer_proxies[index].upstream = process.ports["peer"]

    def set_config(self, *, others=(), **queue):
        """Write a newer configuration.

        :param others: Fields of further routes that differ from the queue's.
        :param queue: Fields of the queue's route that differ.
        """
        self.config_version += 3
        route = {
            "name": "q",
            "host": HOST,
            "prefix": PREFIX,
            "service": POOL,
            "maxAttempts": 3,
            "stretch": 2.0,
            "targetLatencyMs": 1000,
            "priority": 0,
            **queue,
        }
        self.store.put_json(
            "op/config",
            {
                "version": self.config_version,
                "routes": [route, *({**route, **item} for item in others)],
                "services": [{"name": POOL, "enforcesCapacity": False}],
                "limits": self.limits,
            },
        )

    async def wait_ready(self):
        """Wait until a first job is completed; then clear the record."""
        with trio.fail_after(READY_TIMEOUT_S):
            while await self.submit("0" * 16, [{"count": 1}]) != 200:
                await trio.sleep(POLL_INTERVAL_S)
            while await self.state("0" * 16) != "completed":
                await trio.sleep(POLL_INTERVAL_S)
        self.record.clear()

    async def send_request(
        self, method, path, *, index=None, body=None, prefix=PREFIX
    ):
        """Send a request to a dispatcher.

        :param index: Index of the dispatcher, None for the first that runs.
        :param prefix: Path prefix of the queue.
        :returns: The response, or None if none was received.
        """
        running = [
            process for process in self.dispatchers if process.is_running
        ]
        process = running[0] if index is None else self.dispatchers[index]
        address = process.ports.get("http")
        if address is None:
            return None
        client = self._clients.setdefault(address, HttpClient(address=address))
        try:
            return await client.send(
                method,
                prefix + path,
                body=b"" if body is None else json.dumps(body).encode(),
                headers=[
                    ("host", HOST),
                    ("x-deadline-ms", str(int(DEADLINE_S * 1000))),
                    ("request-id", f"{method}-{path}"),
                ],
                timeout_s=DEADLINE_S,
            )
        except ExchangeFailed:
            return None

    async def submit(self, name, steps, *, index=None, spec="work", **fields):
        """Submit a job; return the status, 0 without a response.

        :param name: ID of the job.
        :param steps: Fields of each step that differ from the defaults.
        """
        full_steps = [
            {"cpu": 500, "memMb": 100, "estimatedMs": 300, **step}
            for step in steps
        ]
        submission = Submission(name)
        self.submissions.append(submission)
        response = await self.send_request(
            "POST",
            name,
            index=index,
            body={"spec": spec, "steps": full_steps, **fields},
        )
        submission.status = response.status if response else 0
        return submission.status

    async def submit_until_accepted(self, name, steps, **fields):
        """Submit a job to the dispatchers in turn until it is accepted."""
        index = 0
        while True:
            index = (index + 1) % len(self.dispatchers)
            if self.dispatchers[index].is_running:
                if (
                    await self.submit(name, steps, index=index, **fields)
                    == 200
                ):
                    return
            await trio.sleep(POLL_INTERVAL_S)

    async def state(self, name, *, index=None):
        """Return the state of a job.

        :returns: The state, ``absent``, or an empty string if unknown.
        """
        response = await self.send_request("GET", name, index=index)
        if response is None:
            return ""
        if response.status == 410:
            return "absent"
        return response.json()["state"] if response.status == 200 else ""

    async def wait_state(self, name, state, *, timeout_s):
        """Wait until a job has a state.

        :param timeout_s: Timeout, in seconds.
        :raises AssertionError: The job has another state.
        """
        found = ""
        with trio.move_on_after(timeout_s):
            while found != state:
                found = await self.state(name)
                await trio.sleep(POLL_INTERVAL_S)
        assert found == state, f"{name} is {found!r}, not {state!r}"

    def leader(self):
        """Return the index of the leading dispatcher, or None."""
        value = self.store.get("workflows/site/leader")
        if value is None:
            return None
        address = json.loads(value)["address"]
        addresses = [proxy.address for proxy in self.peer_proxies]
        return addresses.index(address)

    def read_logs(self):
        """Return the logs of all processes."""
        return "\n".join(
            f"--- {path.name}\n{path.read_text()}"
            for path in sorted(self.folder.glob("*.log"))
        )
