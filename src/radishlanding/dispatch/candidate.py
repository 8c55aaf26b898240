"""Takes part in the leader election of a site."""

import trio

from radishlanding.dispatch import keys
from radishlanding.dispatch.entry_log import EntryLog
from radishlanding.dispatch.leader_probe import LeaderProbe
from radishlanding.dispatch.leader_watch import LeaderWatch
from radishlanding.journal import Fenced
from radishlanding.membership import Member
from radishlanding.message import LeaderNotice
from radishlanding.observe import EventLog
from radishlanding.policy import DEFAULT_LINK_MBPS
from radishlanding.store import CorruptRecord
from radishlanding.store import LeaseExpired
from radishlanding.store import pack
from radishlanding.store import StoreUnavailable
from radishlanding.store import Write
from radishlanding.store import WriteRefused
from radishlanding.vm import boot_clock_s

RETRY_DELAY_S = 0.1
KEY_CHECK_INTERVAL_S = 0.5
# Several times what the next leader needs to claim the log.
YIELD_DELAY_S = 1.0

_log = EventLog("radishlanding.dispatch")


class Candidate:
    """Claim the log when there is no leader, and lead."""

    __slots__ = (
        "_compresses_log",
        "_grace_s",
        "_leader_watch",
        "_link_mbps",
        "_make_leader",
        "_member",
        "_on_change",
        "_probe",
        "_registration",
        "_scope",
        "_site_keys",
        "_store",
        "_succession",
        "_superseded",
        "leader",
        "led_epoch",
    )

    def __init__(
        self,
        *,
        store,
        member,
        site_keys,
        registration,
        make_leader,
        on_change,
        counters,
        grace_s,
        succession,
        link_mbps=DEFAULT_LINK_MBPS,
        compresses_log=True,
    ):
        """Initialise the candidate; :meth:`run` competes for leadership.

        :param store: A :class:`radishlanding.store.TransactionalStore`.
        :param member: :class:`Member` that describes this process.
        :param site_keys: A :class:`radishlanding.store.PrefixWatch` of the
            site's keys.
        :param registration: A :class:`SiteRegistration`.
        :param make_leader: Callable that takes ``log`` and ``registry`` and
            returns a :class:`Leader`.
        :param on_change: Coroutine function called when this process becomes
            the leader.
        :param counters: Metrics counters of the process.
        :param grace_s: How long a leader extends leases after its last
            proof of leadership, in seconds.
        :param succession: A :class:`Succession`.
        :param link_mbps: Bandwidth of this process's link, in megabits per
            second.
        :param compresses_log: See :class:`EntryLog`.
        """
        self._compresses_log = compresses_log
        self._grace_s = grace_s
        self._link_mbps = link_mbps
        self._make_leader = make_leader
        self._member = member
        self._on_change = on_change
        self._probe = LeaderProbe(counters=counters)
        self._registration = registration
        self._scope = None
        self._site_keys = site_keys
        self._superseded = trio.Event()
        self._store = store
        self._succession = succession
        self._leader_watch = LeaderWatch(
            member=member,
            probe=self._probe,
            registration=registration,
            site_keys=site_keys,
            succession=succession,
            counters=counters,
        )
        self.leader = None
        # Epoch of the last leadership of this process, 0 for none.
        self.led_epoch = 0

    @property
    def known_leader(self):
        """Return the address of the process that leads, empty if unknown."""
        member = self._leader_watch.leader_member()
        return "" if member is None else member.address

    @property
    def leader_conn(self):
        """Return the connection to the leader, or None."""
        return self._probe.conn

    async def run(self):
        """Compete for leadership, and lead when elected, until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._probe.run)
            while True:
                await self._leader_watch.wait_vacant()
                try:
                    await self._lead()
                except (StoreUnavailable, LeaseExpired, CorruptRecord) as exc:
                    _log.warning("claim_failed", reason=exc)
                except Fenced as exc:
                    _log.info("claim_lost", reason=exc)
                await trio.sleep(RETRY_DELAY_S)

    def _leader_write(self):
        return Write(
            key=keys.LEADER,
            value=pack(self._member),
            lease=self._registration.lease,
        )

    async def _claim(self, log):
        """Claim the log and return a prepared :class:`Leader`."""
        began_s = boot_clock_s()
        registry = await log.claim(
            process_id=self._member.process_id,
            leader_write=self._leader_write(),
            leader_version=self._leader_watch.leader_version(),
        )
        _log.info(
            "leading",
            epoch=log.epoch,
            replaces=log.predecessors[0] or "none",
            workflows=len(registry.workflows),
            log_bytes=log.size_bytes,
            took_s=f"{boot_clock_s() - began_s:.3f}",
        )
        leader = self._make_leader(log=log, registry=registry)
        await leader.prepare(self._store)
        return leader

    async def _yield_leadership(self, log):
        """Give up a claimed log so that a process that can read it leads."""
        _log.warning("log_unreadable", epoch=log.epoch)
        await log.withdraw()
        await trio.sleep(YIELD_DELAY_S)

    async def _lead(self):
        if await self._leader_watch.is_claimed():
            return
        log = EntryLog(
            store=self._store,
            link_mbps=self._link_mbps,
            compresses=self._compresses_log,
            grace_s=self._grace_s,
        )
        try:
            leader = await self._claim(log)
        except (StoreUnavailable, CorruptRecord):
            if log.epoch:
                await self._yield_leadership(log)
            raise
        self.leader = leader
        self.led_epoch = log.epoch
        is_ending = False
        try:
            with trio.CancelScope() as self._scope:
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(self._on_change)
                    nursery.start_soon(self._probe.notify, self.notice())
                    nursery.start_soon(self._maintain_leader_key, log)
                    nursery.start_soon(self._end_when_superseded)
                    nursery.start_soon(self._end_when_outclassed)
                    nursery.start_soon(leader.run)
        except* Fenced as group:
            _log.warning(
                "leadership_lost",
                epoch=log.epoch,
                reason=_first_exception(group),
            )
        except* WriteRefused as group:
            _log.error(
                "leadership_given_up",
                epoch=log.epoch,
                reason=_first_exception(group),
            )
            is_ending = True
        finally:
            self._leader_watch.record_leadership_end()
            self.leader = None
        if is_ending or self._scope.cancelled_caught:
            await leader.resign()
            await trio.sleep(YIELD_DELAY_S)

    async def _end_when_outclassed(self):
        await self._succession.wait_outclassed()
        self._scope.cancel()

    async def _end_when_superseded(self):
        self._superseded = trio.Event()
        await self._superseded.wait()
        raise Fenced("a newer leader has announced itself")

    async def _maintain_leader_key(self, log):
        """Write the leader's key again whenever it is lost or replaced."""
        while True:
            with trio.move_on_after(KEY_CHECK_INTERVAL_S):
                await self._site_keys.wait_changed()
            item = self._site_keys.items.get(keys.LEADER)
            if self._site_keys.is_lost or self._is_own(item):
                continue
            try:
                if item is not None:
                    await log.confirm()
                await log.put(self._leader_write())
                _log.info("leader_announced", epoch=log.epoch)
            except (StoreUnavailable, LeaseExpired) as exc:
                _log.warning("announce_failed", reason=exc)

    def _is_own(self, item):
        return item is not None and item.value == pack(self._member)

    def notice(self):
        """Return the message that announces this process as the leader."""
        return LeaderNotice(
            epoch=self.leader.epoch,
            process_id=self._member.process_id,
            zone=self._member.zone,
            address=self._member.address,
        )

    def follow(self, notice):
        """Follow an announced leader; stop leading if its epoch is newer.

        :param notice: A :class:`radishlanding.message.LeaderNotice`.
        """
        member = Member(
            kind=self._member.kind,
            process_id=notice.process_id,
            zone=notice.zone,
            address=notice.address,
        )
        self._leader_watch.follow(member, epoch=notice.epoch)
        if self.leader is not None and notice.epoch > self.leader.epoch:
            _log.info(
                "newer_leader_announced",
                leader=notice.process_id,
                epoch=notice.epoch,
                own_epoch=self.leader.epoch,
            )
            self._superseded.set()

    def leave(self):
        """Step down, and claim again only if no other process does."""
        self._leader_watch.is_leaving = True
        if self._scope is not None and self.leader is not None:
            self._scope.cancel()


def _first_exception(group):
    """Return the first leaf exception of a possibly nested group."""
    while isinstance(group, BaseExceptionGroup):
        group = group.exceptions[0]
    return group
