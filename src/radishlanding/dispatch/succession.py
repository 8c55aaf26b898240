"""Tells a process when it is its turn to lead, by the others' strength."""

import trio

from radishlanding.dispatch import keys
from radishlanding.membership import Member
from radishlanding.observe import EventLog
from radishlanding.store import CorruptRecord
from radishlanding.store import unpack

CHECK_INTERVAL_S = 0.5
# A process that has just come back may go again; a leader waits so long.
STABLE_CHECKS = 6

_log = EventLog("radishlanding.dispatch")


class Succession:
    """Compare this process with the others that are registered."""

    __slots__ = ("_choice", "_member", "_site_keys")

    def __init__(self, *, choice, member, site_keys):
        """Prepare.

        :param choice: A :class:`radishlanding.policy.StrongestFirst`.
        :param member: This process, a :class:`Member`.
        :param site_keys: A :class:`radishlanding.store.PrefixWatch` of the
            site's keys.
        """
        self._choice = choice
        self._member = member
        self._site_keys = site_keys

    def claim_delay_s(self, *, gone=None):
        """Return how long to leave a claim to stronger processes.

        :param gone: The :class:`Member` that led until now, or None.
        """
        strengths = self._other_strengths()
        if gone is not None:
            strengths.pop(gone.address, None)
        return self._choice.claim_delay_s(
            self._member.strength, strengths.values()
        )

    async def wait_outclassed(self):
        """Wait until a much stronger process has been there for a while."""
        checks = 0
        while checks < STABLE_CHECKS:
            await trio.sleep(CHECK_INTERVAL_S)
            strengths = self._other_strengths()
            if not self._site_keys.is_lost and self._choice.should_step_down(
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
        """Return strengths by address of the other processes."""
        strengths = {}
        for key, item in self._site_keys.items.items():
            if not key.startswith(keys.MEMBERS):
                continue
            try:
                member = unpack(Member, item.value)
            except CorruptRecord as exc:
                _log.error("member_key_corrupt", key=key, reason=exc)
                continue
            if member.address != self._member.address:
                strengths[member.address] = member.strength
        return strengths
