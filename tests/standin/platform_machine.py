"""A machine of the platform with a runner and an agent."""

import trio
import trio.testing

from tests.standin.open_platform import serve_until_cancelled
from tests.standin.platform_runner import PlatformRunner
from tests.standin.process import Process


class PlatformMachine:
    """Run a fake runner and a real agent."""

    __slots__ = (
        "_reboot_lock",
        "_runner_scope",
        "_site",
        "agent",
        "name",
        "runner",
        "zone",
    )

    def __init__(self, *, name, zone, site, seed):
        """Prepare a machine.

        :param name: Name, from which its IDs are derived.
        :param zone: Availability zone.
        :param site: Its :class:`tests.standin.platform_site.PlatformSite`.
        :param seed: Seed of the random faults.
        """
        self._reboot_lock = trio.Lock()
        self._runner_scope = None
        self._site = site
        self.agent = Process(
            program="vmagent", name=f"side-{name}", folder=site.folder
        )
        self.name = name
        self.runner = PlatformRunner(
            worker_id=f"i-{name}",
            zone=zone,
            pool="order-desk",
            record=site.record,
            seed=seed,
        )
        self.zone = zone

    async def start(self):
        """Start the runner and the agent."""
        nursery = self._site.nursery
        self.runner.nursery = nursery
        await self._serve_runner("127.0.0.1:0")
        nursery.start_soon(self.runner.run_tasks)
        await self.start_agent()
        nursery.start_soon(self.runner.ping, self)

    async def _serve_runner(self, address):
        self._runner_scope = trio.CancelScope()
        self.runner.address = await self._site.nursery.start(
            serve_until_cancelled, self.runner, self._runner_scope, address
        )

    async def reboot_runner(self):
        """Start the runner again at its address; its connections break."""
        # Faults overlap, and only one server can bind the address.
        async with self._reboot_lock:
            self._runner_scope.cancel()
            self.runner.boot()
            # Lets the server close its listeners before the next one binds.
            await trio.testing.wait_all_tasks_blocked()
            await self._serve_runner(self.runner.address)

    async def start_agent(self):
        """Start the agent."""
        await self.agent.start(
            self._site.nursery,
            {
                "id": self.agent.name,
                "zone": self.zone,
                "store": self._site.store_address,
                "report_listen": "127.0.0.1:0",
                "seeds": [],
                "peer_port": 1,
                "vm_lease_s": 4.0,
                **self._site.agent_settings,
            },
        )

    @property
    def reports_address(self):
        """Return the address for pings, empty if unknown."""
        return self.agent.ports.get("reports", "")
