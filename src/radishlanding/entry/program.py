"""The entry program."""

import functools
import random
import signal

import trio

from radishlanding.entry.admission import Admission
from radishlanding.entry.agent_directory import AgentDirectory
from radishlanding.entry.caller_api import CallerApi
from radishlanding.entry.claimed_router import ClaimedRouter
from radishlanding.entry.http_api import HttpApi
from radishlanding.entry.operator_api import OperatorApi
from radishlanding.entry.request_router import RequestRouter
from radishlanding.entry.scheduler_links import SchedulerLinks
from radishlanding.http import HttpServer
from radishlanding.http import Limits
from radishlanding.membership import SiteMembership
from radishlanding.observe import Counters
from radishlanding.observe import EventLog
from radishlanding.observe import start_export
from radishlanding.peer import PeerServer
from radishlanding.policy import PowerOfTwo
from radishlanding.policy import RetryBudget
from radishlanding.report import BurnHistory

MAX_AGENTS = 5000

_log = EventLog("radishlanding.entry")


class EntryProgram:
    """Wire and run an entry; the composition root of its process."""

    __slots__ = (
        "_cfg",
        "_counters",
        "_http_api",
        "_http_server",
        "_links",
        "_membership",
        "_peer_server",
    )

    def __init__(self, *, cfg):
        """Wire the components.

        :param cfg: A :class:`radishlanding.settings.EntrySettings`.
        """
        self._cfg = cfg
        self._counters = Counters()
        self._membership = SiteMembership(
            kind="entry", cfg=cfg, counters=self._counters
        )
        identity = (self._membership.process_id, cfg.zone)
        self._links = SchedulerLinks(
            identity=identity,
            cfg_watch=self._membership.cfg_watch,
            member_watch=self._membership.member_watch,
            counters=self._counters,
        )
        directory = AgentDirectory(cfg_watch=self._membership.cfg_watch)
        self._peer_server = PeerServer(
            handler=directory,
            counters=self._counters,
            max_connections=MAX_AGENTS,
        )
        self._http_api = self._make_http_api(directory, identity)
        self._http_server = HttpServer(
            handler=self._http_api,
            limits=Limits(connections=cfg.max_connections),
        )

    def _make_http_api(self, directory, identity):
        burn = BurnHistory()
        cfg_watch = self._membership.cfg_watch
        router = RequestRouter(
            directory=directory,
            routing=PowerOfTwo(random=random.Random()),
            budget=RetryBudget(),
            cfg_watch=cfg_watch,
            counters=self._counters,
        )
        callers = CallerApi(
            admission=Admission(
                max_requests=self._cfg.max_requests, cfg_watch=cfg_watch
            ),
            burn=burn,
            cfg_watch=cfg_watch,
            claimed_router=ClaimedRouter(
                directory=directory, links=self._links, router=router
            ),
            counters=self._counters,
            links=self._links,
            router=router,
        )
        operators = OperatorApi(
            burn=burn,
            cfg_watch=cfg_watch,
            counters=self._counters,
            identity=identity,
            links=self._links,
        )
        return HttpApi(
            callers=callers, operators=operators, cfg_watch=cfg_watch
        )

    async def run(self):
        """Run until SIGTERM or SIGINT, then shut down gracefully.

        Open HTTP requests get ``drain_s`` seconds to finish.
        """
        start_export(
            counters=self._counters,
            endpoint=self._cfg.metrics_endpoint,
            program="entry",
            process_id=self._membership.process_id,
        )
        with trio.open_signal_receiver(
            signal.SIGTERM, signal.SIGINT
        ) as signals:
            async with trio.open_nursery() as nursery:
                await self._start(nursery)
                async with trio.open_nursery() as callers:
                    await self._listen(callers)
                    async for number in signals:
                        _log.info("stopping", signal=number)
                        break
                    self._http_api.is_stopping = True
                    self._http_server.drain()
                    callers.cancel_scope.deadline = (
                        trio.current_time() + self._cfg.drain_s
                    )
                nursery.cancel_scope.cancel()
        await self._membership.close()
        _log.info("stopped")

    async def _start(self, nursery):
        host, _, port = self._cfg.peer_listen.rpartition(":")
        port = await nursery.start(
            functools.partial(self._peer_server.run, host=host, port=int(port))
        )
        address = self._cfg.peer_advertise or f"{host}:{port}"
        _log.info("listening", peer=f"{host}:{port}", advertised=address)
        self._membership.start(nursery, address=address)
        nursery.start_soon(self._links.run)

    async def _listen(self, nursery):
        host, _, port = self._cfg.http_listen.rpartition(":")
        port = await nursery.start(
            functools.partial(self._http_server.run, host=host, port=int(port))
        )
        _log.info("listening", http=f"{host}:{port}")
