"""A target VM with a worker, a target and an agent."""

import functools

from radishlanding.http import HttpServer
from tests.standin.process import Process
from tests.standin.proxy import Proxy
from tests.standin.record import now_s
from tests.standin.target import FakeTarget
from tests.standin.worker import FakeWorker


class Vm:
    """Run a fake worker and target behind proxies, and a real agent."""

    __slots__ = (
        "_record",
        "agent",
        "name",
        "rack",
        "target",
        "target_proxy",
        "worker",
        "worker_proxy",
        "zone",
    )

    def __init__(self, *, name, zone, rack, service, capacity, site):
        """Prepare a target VM.

        :param name: ID of the VM.
        :param zone: Availability zone.
        :param rack: Rack.
        :param service: Service of its target.
        :param capacity: The :class:`radishlanding.vm.Capacity` of the VM.
        :param site: The :class:`tests.standin.site.Site`.
        """
        self._record = site.record
        self.name = name
        self.rack = rack
        self.zone = zone
        self.agent = Process(program="agent", name=name, folder=site.folder)
        self.worker = FakeWorker(
            vm=name, zone=zone, capacity=capacity, record=site.record
        )
        self.target = FakeTarget(
            vm=name,
            zone=zone,
            service=service,
            record=site.record,
            worker=self.worker,
        )
        self.worker_proxy = Proxy()
        self.target_proxy = Proxy()

    async def start(self, nursery):
        """Start the worker, the target and their proxies."""
        for fake, proxy in (
            (self.worker, self.worker_proxy),
            (self.target, self.target_proxy),
        ):
            port = await nursery.start(
                functools.partial(
                    HttpServer(handler=fake).run, host="127.0.0.1", port=0
                )
            )
            proxy.upstream = f"127.0.0.1:{port}"
            await proxy.start(nursery)
        self.target.address = self.target_proxy.address
        nursery.start_soon(self.worker.sweep)
        nursery.start_soon(self.target.announce_periodically)

    async def start_agent(self, nursery, settings):
        """Start the agent and announce the target to it."""
        await self.agent.start(
            nursery,
            {
                "vm": self.name,
                "zone": self.zone,
                "rack": self.rack,
                "worker": self.worker_proxy.address,
                "announce_listen": "127.0.0.1:0",
                **settings,
            },
        )
        self.target.agent_address = self.agent.ports["announce"]
        if not self.target.is_silent:
            await self.target.announce_once()

    async def crash(self):
        """Kill the agent and take down the worker and the target."""
        self.target.is_silent = True
        self._record.outages.append((self.name, now_s(), float("inf")))
        await self.agent.kill()
        self.worker.crash()
        await self.worker_proxy.cut()
        await self.target_proxy.cut()

    def restart(self):
        """Bring the worker and the target back, without the agent."""
        self.worker.restart()
        self.target.is_silent = False
