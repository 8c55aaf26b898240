"""The dispatcher program."""

import functools
import signal
import uuid

import trio

from radishlanding.dispatch import Candidate
from radishlanding.dispatch import Leader
from radishlanding.dispatch import SiteWatch
from radishlanding.dispatch import Succession
from radishlanding.dispatch.keys import SITE
from radishlanding.dispatch.site_registration import SiteRegistration
from radishlanding.dispatcher.handler import DispatcherHandler
from radishlanding.dispatcher.leader_client import LeaderClient
from radishlanding.http import HttpServer
from radishlanding.http import Limits
from radishlanding.http import ProcessBudget
from radishlanding.http import serve_metrics
from radishlanding.http import SuspensionWatch
from radishlanding.membership import Member
from radishlanding.message import LeaderAway
from radishlanding.observe import Counters
from radishlanding.observe import EventLog
from radishlanding.observe import LoadMonitor
from radishlanding.peer import PeerServer
from radishlanding.platform import ClientApi
from radishlanding.platform import KvStore
from radishlanding.platform import PlatformAdvisor
from radishlanding.platform import read_site
from radishlanding.platform import READY_LIMITS
from radishlanding.platform import ReadyApi
from radishlanding.platform import SITE_PREFIX
from radishlanding.policy import CompletionOrder
from radishlanding.policy import EarliestDeadline
from radishlanding.policy import Interference
from radishlanding.policy import LearnedRunTimes
from radishlanding.policy import StrongestFirst
from radishlanding.policy import TicketCache
from radishlanding.policy import WorkflowPlanner
from radishlanding.store import CallBudget
from radishlanding.store import PrefixWatch
from radishlanding.vm import boot_clock_s
from radishlanding.vm import LeaseTiming

MILLICORES_PER_CORE = 1000
# An agent takes orders whose clock is 3 s old at most, and carries them out
# within 2.5 s; see vmagent.
START_WINDOW_S = 5.5

_log = EventLog("radishlanding.dispatcher")


class DispatcherProgram:
    """Wire and run a dispatcher; the composition root of its process."""

    __slots__ = (
        "_budget",
        "_candidate",
        "_cfg",
        "_client_server",
        "_counters",
        "_handler",
        "_interference",
        "_is_stopping",
        "_listening_s",
        "_member",
        "_peer_server",
        "_registration",
        "_site_keys",
        "_site_watch",
        "_store",
        "_suspension_watch",
    )

    def __init__(self, *, cfg):
        """Wire the components.

        :param cfg: A :class:`radishlanding.settings.DispatcherSettings`.
        """
        self._cfg = cfg
        self._budget = ProcessBudget(
            memory_mb=cfg.memory_mb, max_fds=cfg.max_fds
        )
        self._counters = Counters()
        self._interference = Interference()
        self._is_stopping = False
        self._listening_s = None
        self._store = self._make_store()
        self._suspension_watch = SuspensionWatch()
        policy = StrongestFirst()
        self._member = self._make_member(policy)
        self._site_watch = SiteWatch(
            store=self._store, prefix=SITE_PREFIX, parse=read_site
        )
        self._site_keys = PrefixWatch(store=self._store, prefix=SITE)
        self._registration = SiteRegistration(
            store=self._store, member=self._member, site_keys=self._site_keys
        )
        self._candidate = self._make_candidate(policy)
        self._handler = DispatcherHandler(
            member=self._member, site_watch=self._site_watch
        )
        self._handler.set_candidate(self._candidate)
        self._peer_server = PeerServer(
            handler=self._handler,
            counters=self._counters,
            max_connections=self._budget.peer_connections,
            budget=self._budget,
        )
        self._client_server = self._make_client_server()

    def _make_member(self, policy):
        cfg = self._cfg
        return Member(
            kind="dispatcher",
            process_id=f"{cfg.id}-{uuid.uuid4().hex[:8]}",
            zone=cfg.zone,
            address=cfg.peer_advertise or cfg.peer_listen,
            strength=policy.strength(
                millicores=MILLICORES_PER_CORE * cfg.cpu_share * cfg.cores,
                link_mbps=cfg.link_mbps,
            ),
        )

    def _make_candidate(self, policy):
        return Candidate(
            store=self._store,
            member=self._member,
            site_keys=self._site_keys,
            registration=self._registration,
            make_leader=self._make_leader,
            on_change=self._announce_leadership,
            counters=self._counters,
            grace_s=self._cfg.owner_grace_s,
            link_mbps=self._cfg.link_mbps,
            compresses_log=self._cfg.compress_log,
            succession=Succession(
                policy=policy,
                member=self._member,
                site_keys=self._site_keys,
                counters=self._counters,
            ),
        )

    def _make_client_server(self):
        leader_client = LeaderClient(
            candidate=self._candidate,
            counters=self._counters,
            has_advisor=bool(self._cfg.advisor),
        )
        return HttpServer(
            handler=ClientApi(
                leader_client=leader_client, site=lambda: self._site_watch.site
            ),
            limits=self._client_limits(),
            budget=self._budget,
            counters=self._counters,
            suspension_watch=self._suspension_watch,
        )

    def _client_limits(self):
        """Return the limits to clients that the operators have set."""
        site = self._site_watch.site
        return Limits(
            connections=self._budget.client_connections,
            header_bytes=site.max_header_bytes,
            body_bytes=site.max_body_bytes,
            idle_s=site.idle_timeout_ms / 1000,
            header_s=site.header_timeout_ms / 1000,
        )

    async def _follow_limits(self):
        while True:
            self._client_server.set_limits(self._client_limits())
            await self._site_watch.wait_changed()

    def _make_store(self):
        rate = self._cfg.store_calls_per_s
        return KvStore(
            address=self._cfg.store,
            budget=CallBudget(rate=rate, burst=rate),
            counters=self._counters,
        )

    def _make_leader(self, *, log, registry):
        advisor = None
        if self._cfg.advisor:
            advisor = PlatformAdvisor(address=self._cfg.advisor)
        tickets = TicketCache()
        # Other processes may have led since this one last did, so that their
        # rows in the store are newer than what it learned then.
        run_times = LearnedRunTimes()
        return Leader(
            log=log,
            registry=registry,
            site_watch=self._site_watch,
            planner=WorkflowPlanner(
                order=self._workflow_order(run_times),
                interference=self._interference,
                tickets=tickets,
                clock_s=boot_clock_s,
            ),
            interference=self._interference,
            timing=LeaseTiming(
                vm_lease_s=self._cfg.vm_lease_s,
                owner_grace_s=self._cfg.owner_grace_s,
                drift_s=self._cfg.drift_s,
                hold_max_s=self._cfg.hold_max_ms / 1000,
                start_window_s=START_WINDOW_S,
            ),
            counters=self._counters,
            on_store_unreachable=self._announce_store_unreachable,
            run_times=run_times,
            tickets=tickets,
            advisor=advisor,
            link_mbps=self._cfg.link_mbps,
            listening_s=self._listening_s,
        )

    def _workflow_order(self, run_times):
        if self._cfg.overload_control:
            return CompletionOrder(run_times=run_times)
        return EarliestDeadline()

    async def _announce_leadership(self):
        """Notify all peers that this process leads."""
        await self._notify_peers(self._candidate.notice())

    async def _announce_store_unreachable(self):
        """Ask the other dispatchers to take over the leadership."""
        await self._notify_peers(
            LeaderAway(process_id=self._member.process_id)
        )

    async def _notify_peers(self, notice):
        async with trio.open_nursery() as nursery:
            for conn in self._peer_server.connections:
                nursery.start_soon(conn.notify, notice)

    def _queues(self):
        """Return the queues if this process leads, otherwise None."""
        leader = self._candidate.leader
        return None if leader is None else leader.queues()

    def _is_ready(self):
        return self._site_watch.is_ready and not self._is_stopping

    async def run(self):
        """Run until SIGTERM or SIGINT, then shut down gracefully.

        SIGHUP is logged and ignored.
        """
        with trio.open_signal_receiver(
            signal.SIGTERM, signal.SIGINT, signal.SIGHUP
        ) as signals:
            async with trio.open_nursery() as nursery:
                await self._start(nursery)
                async for number in signals:
                    _log.info("signal", number=number)
                    if number != signal.SIGHUP:
                        break
                await self._shut_down()
                nursery.cancel_scope.cancel()
        _log.info("stopped")

    async def _shut_down(self):
        """Hand over leadership, then serve open and late requests.

        Requests still arrive for ``linger_s`` seconds, until the platform
        has noticed that the readiness check fails.
        """
        linger_s, drain_s = self._cfg.stop_times_s()
        self._is_stopping = True
        self._candidate.leave()
        await trio.sleep(linger_s)
        self._client_server.drain()
        with trio.move_on_after(drain_s):
            await self._client_server.wait_drained()
        # It leads again by now if no other process has claimed the log.
        self._candidate.leave()
        with trio.move_on_after(0.5):
            await self._registration.close()

    async def _start(self, nursery):
        ready = HttpServer(
            handler=ReadyApi(is_ready=self._is_ready),
            limits=READY_LIMITS,
            budget=self._budget,
            counters=self._counters,
        )
        bound = []
        for server, address in (
            (self._peer_server, self._cfg.peer_listen),
            (self._client_server, self._cfg.http_listen),
            (ready, self._cfg.ready_listen),
        ):
            host, _, port = address.rpartition(":")
            port = await nursery.start(
                functools.partial(server.run, host=host, port=int(port))
            )
            bound.append(f"{host}:{port}")
        self._listening_s = boot_clock_s()
        _log.info(
            "listening",
            process=self._member.process_id,
            peer=bound[0],
            http=bound[1],
            ready=bound[2],
        )
        nursery.start_soon(self._follow_limits)
        for component in (
            self._site_watch,
            self._site_keys,
            self._registration,
            self._candidate,
            LoadMonitor(
                counters=self._counters,
                on_sample=self._suspension_watch.check,
            ),
        ):
            nursery.start_soon(component.run)
        await serve_metrics(
            nursery,
            counters=self._counters,
            address=self._cfg.metrics_listen,
            program="dispatcher",
            budget=self._budget,
            pages={"/queues": self._queues},
        )
