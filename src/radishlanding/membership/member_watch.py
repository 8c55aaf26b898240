"""Follows the members of the site in the store."""

import random

import trio

from radishlanding.membership.member import Member
from radishlanding.observe import EventLog
from radishlanding.store import StoreUnavailable
from radishlanding.store import unpack

MEMBER_PREFIX = "member/"
OWNER_PREFIX = "owner/"
POLL_PAUSE_S = 0.5

_log = EventLog("radishlanding.membership")


class MemberWatch:
    """Hold the members that were last read; an outage changes nothing."""

    __slots__ = ("_changed", "_store", "members", "owners")

    def __init__(self, *, store):
        """Start with none.

        :param store: A :class:`radishlanding.store.Store`.
        """
        self._store = store
        self._changed = trio.Event()
        self.members: list[Member] = []
        self.owners: dict[int, Member] = {}

    async def run(self):
        """Read the members twice a second."""
        while True:
            try:
                await self.refresh()
            except StoreUnavailable as exc:
                _log.debug("members_unread", reason=exc)
            await trio.sleep(POLL_PAUSE_S * random.uniform(0.8, 1.0))

    async def refresh(self):
        """Read the members and the owners of the shards.

        :raises StoreUnavailable: The store gave no answer.
        """
        kvs = await self._store.scan(MEMBER_PREFIX)
        members = [unpack(Member, kv.value) for kv in kvs]
        kvs = await self._store.scan(OWNER_PREFIX)
        self.owners = {
            int(kv.key.removeprefix(OWNER_PREFIX)): unpack(Member, kv.value)
            for kv in kvs
        }
        if members != self.members:
            self.members = members
            self._changed.set()
            self._changed = trio.Event()

    async def wait_changed(self):
        """Wait until the members have changed."""
        await self._changed.wait()

    def addresses(self, kind):
        """Return the peer addresses of one kind of process, sorted."""
        return sorted(
            member.address for member in self.members if member.kind == kind
        )
