"""Watch on the members of a site and the owners of its shards."""

import random

import trio

from radishlanding.membership.member import Member
from radishlanding.observe import EventLog
from radishlanding.store import RecordReader
from radishlanding.store import StoreUnavailable

MEMBER_PREFIX = "member/"
OWNER_PREFIX = "owner/"
POLL_INTERVAL_S = 0.5

_log = EventLog("radishlanding.membership")


class MemberWatch:
    """Poll the members and shard owners from the store.

    If the store is unavailable, the last values read are kept.
    """

    __slots__ = ("_changed", "_reader", "_store", "members", "owners")

    def __init__(self, *, store, counters):
        """Start without members.

        :param store: A :class:`radishlanding.store.Store`.
        :param counters: The process's :class:`radishlanding.observe.Counters`.
        """
        self._reader = RecordReader(Member, counters=counters)
        self._store = store
        self._changed = trio.Event()
        self.members: list[Member] = []
        self.owners: dict[int, Member] = {}

    async def run(self):
        """Refresh members and owners every ``POLL_INTERVAL_S`` seconds."""
        while True:
            try:
                await self.refresh()
            except StoreUnavailable as exc:
                _log.debug("members_unread", reason=exc)
            await trio.sleep(POLL_INTERVAL_S * random.uniform(0.8, 1.0))

    async def refresh(self):
        """Read the members and the owners of the shards.

        :raises radishlanding.store.StoreUnavailable: The store does not
            answer.
        """
        kvs = await self._store.scan(MEMBER_PREFIX)
        members = self._reader.read_all(kvs)
        kvs = await self._store.scan(OWNER_PREFIX)
        self.owners = self._read_owners(kvs)
        if members != self.members:
            self.members = members
            self._changed.set()
            self._changed = trio.Event()

    def _read_owners(self, kvs):
        """Return the owners by shard, without the corrupt entries."""
        owners = {}
        for kv in kvs:
            shard = kv.key.removeprefix(OWNER_PREFIX)
            member = self._reader.read(kv)
            if member is not None and shard.isdecimal():
                owners[int(shard)] = member
        return owners

    async def wait_changed(self):
        """Wait until the members change."""
        await self._changed.wait()

    def addresses(self, kind):
        """Return the sorted peer addresses of the members of a kind."""
        return sorted(
            member.address for member in self.members if member.kind == kind
        )
