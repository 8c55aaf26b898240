"""Program of the workflow agent."""

import functools
import random
import signal

import trio

from radishlanding.dispatch.keys import LEADER
from radishlanding.dispatch.keys import SITE
from radishlanding.http import HttpServer
from radishlanding.http import Limits
from radishlanding.http import ProcessBudget
from radishlanding.http import serve_metrics
from radishlanding.membership import Member
from radishlanding.observe import Counters
from radishlanding.observe import EventLog
from radishlanding.platform import KvStore
from radishlanding.platform import RegistrationApi
from radishlanding.platform import Runner
from radishlanding.policy import LeaderSearch
from radishlanding.store import CallBudget
from radishlanding.store import RecordReader
from radishlanding.store import StoreUnavailable
from radishlanding.vm import boot_clock_s
from radishlanding.vmagent.departure import Departure
from radishlanding.vmagent.dispatcher_links import DispatcherLinks
from radishlanding.vmagent.worker_registry import WorkerRegistry

# Between reads of the members while no leader is connected.
DISCOVERY_INTERVAL_S = 0.5
# Added to that while one is connected.
LEADER_CHECK_INTERVAL_S = 5.0
# A report with all of its labels takes about 20 KB.
MAX_REPORT_BYTES = 256 * 1024

_log = EventLog("radishlanding.vmagent")


class VmAgentProgram:
    """Compose and run the agent process."""

    __slots__ = (
        "_budget",
        "_cfg",
        "_counters",
        "_links",
        "_member_ids",
        "_member_reader",
        "_store",
        "_workers",
    )

    def __init__(self, *, cfg):
        """Create what does not need a nursery.

        :param cfg: A :class:`radishlanding.settings.VmAgentSettings`.
        """
        self._cfg = cfg
        self._budget = ProcessBudget(
            memory_mb=cfg.memory_mb, max_fds=cfg.max_fds
        )
        self._counters = Counters()
        # Processes that were registered at the last read of the members.
        self._member_ids = set()
        self._member_reader = RecordReader(Member, counters=self._counters)
        self._workers = WorkerRegistry(
            make_worker=_make_runner,
            vm_lease_s=cfg.vm_lease_s,
            hold_max_s=cfg.hold_max_ms / 1000,
            counters=self._counters,
        )
        self._links = DispatcherLinks(
            supervisors=self._workers.supervisors, counters=self._counters
        )
        self._store = KvStore(
            address=cfg.store,
            budget=CallBudget(
                rate=cfg.store_calls_per_s, burst=cfg.store_calls_per_s
            ),
            counters=self._counters,
        )

    async def run(self):
        """Run until SIGTERM or SIGINT; SIGHUP is only logged."""
        with trio.open_signal_receiver(
            signal.SIGTERM, signal.SIGINT, signal.SIGHUP
        ) as signals:
            async with trio.open_nursery() as nursery:
                await self._start(nursery)
                async for number in signals:
                    _log.info("signal", number=number)
                    if number != signal.SIGHUP:
                        break
                await Departure(
                    supervisors=self._workers.supervisors,
                    grace_s=self._cfg.grace_s,
                ).wait()
                nursery.cancel_scope.cancel()
        _log.info("stopped")

    async def _start(self, nursery):
        self._links.open(nursery)
        self._workers.open(nursery, run_supervisor=self._run_supervisor)
        server = HttpServer(
            handler=RegistrationApi(
                handler=self._workers, counters=self._counters
            ),
            limits=Limits(
                connections=self._budget.client_connections,
                body_bytes=MAX_REPORT_BYTES,
            ),
            budget=self._budget,
            counters=self._counters,
        )
        host, _, port = self._cfg.report_listen.rpartition(":")
        port = await nursery.start(
            functools.partial(server.run, host=host, port=int(port))
        )
        _log.info("listening", reports=f"{host}:{port}")
        nursery.start_soon(self._maintain_links)
        await serve_metrics(
            nursery,
            counters=self._counters,
            address=self._cfg.metrics_listen,
            program="vmagent",
            budget=self._budget,
        )

    async def _maintain_links(self):
        """Keep linked to the leader and a few standbys; see LeaderSearch."""
        search = LeaderSearch(own_id=self._cfg.id)
        known, named = self._seed_addresses(), set()
        self._links.dial(known)
        while True:
            try:
                known, named = await self._read_site(known)
            except StoreUnavailable as exc:
                _log.info("members_unread", reason=exc)
            leader = self._links.leader_address
            needed = search.addresses(
                known,
                leader=leader,
                hints=named | self._links.hints,
                now_s=boot_clock_s(),
            )
            self._links.dial(needed)
            if leader is not None:
                self._links.close_others(needed)
                with trio.move_on_after(LEADER_CHECK_INTERVAL_S):
                    await self._links.wait_leader_lost()
            if not self._links.has_leader:
                self._links.ask_leader()
            interval_s = DISCOVERY_INTERVAL_S * random.uniform(0.6, 1.0)
            await trio.sleep(interval_s)

    def _seed_addresses(self):
        return {
            f"{seed.rpartition(':')[0]}:{self._cfg.peer_port}"
            for seed in self._cfg.seeds
        }

    async def _read_site(self, known):
        """Return the addresses of all dispatchers, and those of the leader.

        Links to others are closed unless they are connected. The leader and
        dispatchers that have registered since the last read are dialled at
        once: after a loss of power agents that started before them would
        wait for up to two seconds more.

        :param known: Addresses to return if no dispatcher is registered.
        :raises StoreUnavailable: The store gave no answer.
        """
        listing = await self._store.list(SITE, is_stale_ok=True)
        named = {
            member.address
            for member in self._member_reader.read_all(
                item for item in listing.items if item.key == LEADER
            )
        }
        members = self._member_reader.read_all(listing.items)
        addresses = {member.address for member in members}
        if addresses:
            self._links.close_disconnected(self._links.addresses - addresses)
        started = {
            member.address
            for member in members
            if member.process_id not in self._member_ids
        }
        self._member_ids = {member.process_id for member in members}
        self._links.retry(started | named)
        return addresses or known, named

    async def _run_supervisor(self, supervisor):
        self._links.introduce(supervisor)
        with supervisor.scope:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._links.run_reports, supervisor)
                nursery.start_soon(supervisor.run)


def _make_runner(report):
    return Runner(address=report.address, worker_id=report.worker_id)
