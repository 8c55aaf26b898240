"""The entry program: wires its parts."""

import functools
import random
import signal
import uuid

import trio

from radishlanding.config import ConfigWatch
from radishlanding.entry.admission import Admission
from radishlanding.entry.agent_directory import AgentDirectory
from radishlanding.entry.caller_api import CallerApi
from radishlanding.entry.claimed_router import ClaimedRouter
from radishlanding.entry.front import Front
from radishlanding.entry.operator_api import OperatorApi
from radishlanding.entry.request_router import RequestRouter
from radishlanding.entry.scheduler_links import SchedulerLinks
from radishlanding.etcd import CallBudget
from radishlanding.etcd import EtcdStore
from radishlanding.http import HttpServer
from radishlanding.http import Limits
from radishlanding.membership import Member
from radishlanding.membership import Members
from radishlanding.membership import Registration
from radishlanding.observe import Counters
from radishlanding.observe import EventLog
from radishlanding.observe import start_export
from radishlanding.peer import PeerServer
from radishlanding.policy import PowerOfTwo
from radishlanding.policy import RetryBudget
from radishlanding.report import BurnBook

MAX_AGENTS = 5000
CLOSE_TIMEOUT_S = 2.0

_log = EventLog("radishlanding.entry")


class EntryProgram:
    """Run an entry; the composition root of its process."""

    __slots__ = (
        "_cfg",
        "_cfg_watch",
        "_counters",
        "_front",
        "_http",
        "_links",
        "_members",
        "_peers",
        "_process_id",
        "_registration",
        "_store",
    )

    def __init__(self, *, cfg):
        """Wire the parts.

        :param cfg: A :class:`radishlanding.settings.EntrySettings`.
        """
        self._cfg = cfg
        self._process_id = f"{cfg.id}-{uuid.uuid4().hex[:8]}"
        self._counters = Counters()
        self._store = EtcdStore(
            address=cfg.store,
            budget=CallBudget(
                rate=cfg.store_calls_per_s, burst=cfg.store_calls_per_s
            ),
            counters=self._counters,
        )
        self._cfg_watch = ConfigWatch(store=self._store)
        self._members = Members(store=self._store)
        self._registration = None
        identity = (self._process_id, cfg.zone)
        self._links = SchedulerLinks(
            identity=identity,
            cfg_watch=self._cfg_watch,
            members=self._members,
            counters=self._counters,
        )
        directory = AgentDirectory(cfg_watch=self._cfg_watch)
        self._peers = PeerServer(
            handler=directory,
            counters=self._counters,
            max_connections=MAX_AGENTS,
        )
        self._front = self._make_front(directory, identity)
        self._http = HttpServer(
            handler=self._front, limits=Limits(connections=cfg.max_connections)
        )

    def _make_front(self, directory, identity):
        burn = BurnBook()
        router = RequestRouter(
            directory=directory,
            routing=PowerOfTwo(random=random.Random()),
            budget=RetryBudget(),
            cfg_watch=self._cfg_watch,
            counters=self._counters,
        )
        callers = CallerApi(
            admission=Admission(
                max_requests=self._cfg.max_requests, cfg_watch=self._cfg_watch
            ),
            burn=burn,
            cfg_watch=self._cfg_watch,
            claimed=ClaimedRouter(
                directory=directory, links=self._links, router=router
            ),
            counters=self._counters,
            links=self._links,
            router=router,
        )
        operators = OperatorApi(
            burn=burn,
            cfg_watch=self._cfg_watch,
            counters=self._counters,
            identity=identity,
            links=self._links,
        )
        return Front(
            callers=callers, operators=operators, cfg_watch=self._cfg_watch
        )

    async def run(self):
        """Work until SIGTERM or SIGINT, then leave in order."""
        start_export(
            counters=self._counters,
            endpoint=self._cfg.metrics_endpoint,
            program="entry",
            process_id=self._process_id,
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
                    self._front.is_stopping = True
                    self._http.drain()
                    callers.cancel_scope.deadline = (
                        trio.current_time() + self._cfg.drain_s
                    )
                nursery.cancel_scope.cancel()
        with trio.move_on_after(CLOSE_TIMEOUT_S):
            await self._registration.close()
        _log.info("stopped")

    async def _start(self, nursery):
        host, _, port = self._cfg.peer_listen.rpartition(":")
        port = await nursery.start(
            functools.partial(self._peers.run, host=host, port=int(port))
        )
        address = self._cfg.peer_advertise or f"{host}:{port}"
        _log.info("listening", peer=f"{host}:{port}", advertised=address)
        self._registration = Registration(
            store=self._store,
            member=Member(
                kind="entry",
                process_id=self._process_id,
                zone=self._cfg.zone,
                address=address,
            ),
        )
        nursery.start_soon(self._registration.run)
        nursery.start_soon(self._members.run)
        nursery.start_soon(self._cfg_watch.run)
        nursery.start_soon(self._links.run)

    async def _listen(self, nursery):
        host, _, port = self._cfg.http_listen.rpartition(":")
        port = await nursery.start(
            functools.partial(self._http.run, host=host, port=int(port))
        )
        _log.info("listening", http=f"{host}:{port}")
