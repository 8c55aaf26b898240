"""An entry VM with an entry and a scheduler."""

from tests.standin.process import Process
from tests.standin.proxy import Proxy


class EntryVm:
    """Run an entry and a scheduler, with a proxy on each link."""

    __slots__ = (
        "entry",
        "entry_peers",
        "entry_store",
        "http",
        "name",
        "scheduler",
        "scheduler_peers",
        "scheduler_store",
        "zone",
    )

    def __init__(self, *, name, zone, folder):
        """Prepare an entry VM.

        :param name: Suffix of its process names.
        :param zone: Availability zone.
        :param folder: Folder for settings and logs.
        """
        self.name = name
        self.zone = zone
        self.entry = Process(
            program="entry", name=f"entry-{name}", folder=folder
        )
        self.scheduler = Process(
            program="scheduler", name=f"scheduler-{name}", folder=folder
        )
        self.http = Proxy()
        self.entry_peers = Proxy()
        self.scheduler_peers = Proxy()
        self.entry_store = Proxy()
        self.scheduler_store = Proxy()

    async def start(self, nursery, store_address):
        """Start the proxies."""
        for proxy in (self.entry_store, self.scheduler_store):
            proxy.upstream = store_address
        for proxy in (
            self.http,
            self.entry_peers,
            self.scheduler_peers,
            self.entry_store,
            self.scheduler_store,
        ):
            await proxy.start(nursery)

    async def start_entry(self, nursery):
        """Start the entry."""
        await self.entry.start(
            nursery,
            {
                "id": self.entry.name,
                "zone": self.zone,
                "store": self.entry_store.address,
                "http_listen": "127.0.0.1:0",
                "peer_listen": "127.0.0.1:0",
                "peer_advertise": self.entry_peers.address,
            },
        )
        self.entry_peers.upstream = self.entry.ports["peer"]
        self.http.upstream = self.entry.ports["http"]

    async def start_scheduler(self, nursery, settings):
        """Start the scheduler."""
        await self.scheduler.start(
            nursery,
            {
                "id": self.scheduler.name,
                "zone": self.zone,
                "store": self.scheduler_store.address,
                "peer_listen": "127.0.0.1:0",
                "peer_advertise": self.scheduler_peers.address,
                **settings,
            },
        )
        self.scheduler_peers.upstream = self.scheduler.ports["peer"]
