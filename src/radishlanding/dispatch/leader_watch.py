"""Tracks the leader and detects when there is none."""

import random

import trio

from radishlanding.dispatch import keys
from radishlanding.membership import Member
from radishlanding.observe import EventLog
from radishlanding.store import RecordReader
from radishlanding.vm import boot_clock_s

# Spreads concurrent claims; a lost claim costs one store call.
MAX_CLAIM_DELAY_S = 0.06
POLL_INTERVAL_S = 0.1
# A process whose leadership has ended trusts only the leader's key in the
# store for this long. Otherwise two processes that cannot reach each other
# would replace each other in quick succession.
TAKEOVER_COOLDOWN_S = 5.0
# A process that is shutting down claims only after all others could have,
# which takes them MAX_CLAIM_DELAY_S, the delay of their rank and a call.
LEAVING_CLAIM_DELAY_S = 0.5

_log = EventLog("radishlanding.dispatch")


class LeaderWatch:
    """Track the leader by its key, its connection and its messages."""

    __slots__ = (
        "_announced_leader",
        "_led_until_s",
        "_member",
        "_probe",
        "_reader",
        "_registration",
        "_site_keys",
        "_succession",
        "is_leaving",
    )

    def __init__(
        self,
        *,
        member,
        probe,
        registration,
        site_keys,
        succession,
        counters,
    ):
        """Initialise the watch.

        :param member: :class:`Member` that describes this process.
        :param probe: A :class:`LeaderProbe`.
        :param registration: A :class:`SiteRegistration`.
        :param site_keys: A :class:`radishlanding.store.PrefixWatch` of the
            site's keys.
        :param succession: A :class:`Succession`.
        :param counters: The process's :class:`radishlanding.observe.Counters`.
        """
        self._led_until_s = 0.0
        self._member = member
        self._probe = probe
        self._reader = RecordReader(Member, counters=counters)
        self._registration = registration
        self._site_keys = site_keys
        self._succession = succession
        self._announced_leader = None
        self.is_leaving = False

    def leader_member(self):
        """Return the :class:`Member` that leads as far as known, or None.

        While the store is unreachable from here, the last announcement of a
        leader takes precedence over the leader's key.
        """
        if self._announced_leader is not None and self._site_keys.is_lost:
            return self._announced_leader
        item = self._site_keys.items.get(keys.LEADER)
        if item is None:
            return None
        return self._reader.read(item)

    def leader_version(self):
        """Return the version of the leader's key, 0 if it is absent."""
        item = self._site_keys.items.get(keys.LEADER)
        return item.version if item else 0

    def record_leadership_end(self):
        """Record that this process has stopped leading."""
        self._led_until_s = boot_clock_s()

    def follow(self, member, *, epoch):
        """Follow a leader that has announced itself.

        :param member: The :class:`Member` that leads.
        :param epoch: Epoch of its leadership.
        """
        self._announced_leader = member
        # Negative, so that it equals no version of the leader's key.
        self._probe.follow(member, version=-epoch)

    async def wait_vacant(self):
        """Wait until nobody leads, then for this process's claim delay."""
        while True:
            await self._wait_registered()
            member = self.leader_member()
            if member is None and not self._site_keys.is_lost:
                _log.info("leader_absent")
                break
            if member is not None and member.address == self._member.address:
                _log.info("leader_ended_here", leader=member.process_id)
                break
            if member is not None and self._is_gone(member):
                _log.info("leader_gone", leader=member.process_id)
                break
            with trio.move_on_after(POLL_INTERVAL_S):
                await self._site_keys.wait_changed()
        delay_s = self._succession.claim_delay_s(last_leader=member)
        if self.is_leaving:
            delay_s += LEAVING_CLAIM_DELAY_S
        await trio.sleep(delay_s + random.uniform(0, MAX_CLAIM_DELAY_S))

    def _is_gone(self, member):
        """Probe the leader and return whether it has surely stopped."""
        self._probe.follow(member, version=self.leader_version())
        return (
            self._has_gone(member)
            and boot_clock_s() - self._led_until_s > TAKEOVER_COOLDOWN_S
            and not self._site_keys.is_lost
        )

    def _has_gone(self, member):
        """Return whether there is a sign of it that counts.

        One from before the store could be reached again does not: what cut
        this process off from the store may have cut it off from the leader.
        """
        return self._probe.is_gone(
            member,
            version=self.leader_version(),
            since_s=self._site_keys.regained_s,
        )

    async def _wait_registered(self):
        while not self._registration.lease:
            with trio.move_on_after(POLL_INTERVAL_S):
                await self._registration.wait_changed()
        while not self._site_keys.has_synced:
            with trio.move_on_after(POLL_INTERVAL_S):
                await self._site_keys.wait_changed()

    async def is_claimed(self):
        """Return whether another process leads by now."""
        member = self.leader_member()
        if member is None or member.address == self._member.address:
            return False
        if not self._has_gone(member):
            return True
        return not await self._probe.is_still_gone(member)
