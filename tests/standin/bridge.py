"""Lets behave steps call coroutines in a trio thread."""

import functools
import threading

import trio

from tests.standin.platform_site import PlatformSite
from tests.standin.site import Site


class Bridge:
    """Run trio in a thread during a scenario."""

    __slots__ = (
        "_ready",
        "_sites",
        "_stop_requested",
        "_thread",
        "_token",
        "nursery",
    )

    def __init__(self):
        """Prepare the thread."""
        self._stop_requested = trio.Event()
        self._ready = threading.Event()
        self._sites = []
        self._thread = threading.Thread(target=self._main, daemon=True)
        self._token = None
        self.nursery = None

    def start(self):
        """Start the thread."""
        self._thread.start()
        self._ready.wait()

    def _main(self):
        trio.run(self._run)

    async def _run(self):
        self._token = trio.lowlevel.current_trio_token()
        async with trio.open_nursery() as nursery:
            self.nursery = nursery
            self._ready.set()
            await self._stop_requested.wait()
            nursery.cancel_scope.cancel()

    def call(self, function, *args, **kwargs):
        """Run a coroutine function in the thread and return its result."""
        return trio.from_thread.run(
            functools.partial(function, *args, **kwargs),
            trio_token=self._token,
        )

    def spawn(self, function, *args):
        """Run a coroutine function in the background of the scenario."""
        self.call(self._spawn, function, *args)

    async def _spawn(self, function, *args):
        self.nursery.start_soon(function, *args)

    def open_site(self, plan):
        """Start a site that is closed with the scenario."""
        return self.call(self._open_site, plan)

    async def _open_site(self, plan):
        site = await self.nursery.start(self._run_site, plan)
        self._sites.append(site)
        return site

    async def _run_site(self, plan, *, task_status):
        async with Site.open(plan) as site:
            task_status.started(site)
            await trio.sleep_forever()

    def open_platform_site(self, **options):
        """Start a platform site that is closed with the scenario."""
        return self.call(self._open_platform_site, options)

    async def _open_platform_site(self, options):
        site = await self.nursery.start(self._run_platform_site, options)
        self._sites.append(site)
        return site

    async def _run_platform_site(self, options, *, task_status):
        async with PlatformSite.open(**options) as site:
            task_status.started(site)
            await trio.sleep_forever()

    def print_logs(self):
        """Print the logs of the scenario's sites."""
        for site in self._sites:
            print(site.read_logs())

    def stop(self):
        """Cancel all tasks and wait for the thread."""
        self._token.run_sync_soon(self._stop_requested.set)
        self._thread.join()
