"""A machine of the platform with a runner and an agent."""

from tests.standin.platform_runner import PlatformRunner
from tests.standin.process import Process


class PlatformMachine:
    """Run a fake runner and a real agent."""

    __slots__ = ("_site", "agent", "name", "runner", "zone")

    def __init__(self, *, name, zone, site, seed):
        """Prepare a machine.

        :param name: Name, from which its IDs are derived.
        :param zone: Availability zone.
        :param site: Its :class:`tests.standin.platform_site.PlatformSite`.
        :param seed: Seed of the random faults.
        """
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
        self.runner.address = await self._site.serve(self.runner)
        nursery.start_soon(self.runner.run_tasks)
        await self.start_agent()
        nursery.start_soon(self.runner.ping, self)

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
            },
        )

    @property
    def reports_address(self):
        """Return the address for pings, empty if unknown."""
        return self.agent.ports.get("reports", "")
