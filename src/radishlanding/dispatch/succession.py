"""Decides when a process may claim or should give up leadership."""

import trio

from radishlanding.dispatch import keys
from radishlanding.membership import Member
from radishlanding.observe import EventLog
from radishlanding.store import RecordReader

CHECK_INTERVAL_S = 0.5
# A stronger process has to stay for 3 s: a restarted one may fail again.
STABLE_CHECKS = 6

_log = EventLog("radishlanding.dispatch")


class Succession:
    """Compare the strength of this process with the other dispatchers'."""

    __slots__ = ("_member", "_policy", "_reader", "_site_keys")

    def __init__(self, *, policy, member, site_keys, counters):
        """Initialise the comparison.

        :param policy: A :class:`radishlanding.policy.StrongestFirst`.
        :param member: :class:`Member` that describes this process.
        :param site_keys: A :class:`radishlanding.store.PrefixWatch` of the
            site's keys.
        :param counters: The process's :class:`radishlanding.observe.Counters`.
        """
        self._member = member
        self._policy = policy
        self._reader = RecordReader(Member, counters=counters)
        self._site_keys = site_keys

    def claim_delay_s(self, *, last_leader=None):
        """Return how long to wait for claims of stronger processes.

        :param last_leader: :class:`Member` that led and is ignored, or None.
        :returns: Delay in seconds.
        """
        strengths = self._other_strengths()
        if last_leader is not None:
            strengths.pop(last_leader.address, None)
        return self._policy.claim_delay_s(
            self._member.strength, strengths.values()
        )

    async def wait_outclassed(self):
        """Wait until a much stronger process has been present for a while."""
        checks = 0
        while checks < STABLE_CHECKS:
            await trio.sleep(CHECK_INTERVAL_S)
            strengths = self._other_strengths()
            if not self._site_keys.is_lost and self._policy.should_step_down(
                self._member.strength, strengths.values()
            ):
                checks += 1
            else:
                checks = 0
        _log.info(
            "leader_outclassed",
            strength=self._member.strength,
            strongest=max(strengths.values()),
        )

    def _other_strengths(self):
        """Return the strengths of other registered processes by address."""
        strengths = {}
        for key, item in self._site_keys.items.items():
            if not key.startswith(keys.MEMBERS):
                continue
            member = self._reader.read(item)
            if member is None:
                continue
            if member.address != self._member.address:
                strengths[member.address] = member.strength
        return strengths
