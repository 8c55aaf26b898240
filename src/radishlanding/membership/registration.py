"""Keeps the keys of this process alive in the store."""

import random

import trio

from radishlanding.membership.member_watch import MEMBER_PREFIX
from radishlanding.membership.member_watch import OWNER_PREFIX
from radishlanding.observe import EventLog
from radishlanding.store import pack
from radishlanding.store import StoreUnavailable

LEASE_TTL_S = 3
RENEW_PAUSE_S = 1.0

_log = EventLog("radishlanding.membership")


class Registration:
    """Register this process and the shards that it owns under one lease."""

    __slots__ = ("_lease", "_member", "_members", "_owned", "_store")

    def __init__(self, *, store, member, members):
        """Prepare; :meth:`run` registers.

        :param store: A :class:`radishlanding.store.Store`.
        :param member: This process as a :class:`Member`.
        :param members: The :class:`MemberWatch` that were last read.
        """
        self._members = members
        self._store = store
        self._member = member
        self._lease = 0
        self._owned = set()

    async def run(self):
        """Register, and again when the lease was lost."""
        while True:
            try:
                await self._renew()
            except StoreUnavailable as exc:
                _log.debug("registration_unanswered", reason=exc)
            await trio.sleep(RENEW_PAUSE_S * random.uniform(0.7, 1.0))

    async def _renew(self):
        if self._lease and await self._store.keep_alive(self._lease):
            if self._is_listed():
                return
        else:
            self._lease = 0
            self._lease = await self._store.grant(ttl_s=LEASE_TTL_S)
        key = f"{MEMBER_PREFIX}{self._member.process_id}"
        await self._store.create(key, pack(self._member), lease=self._lease)
        for shard in sorted(self._owned):
            await self._create_owner_key(shard, self._lease)
        _log.info("registered", lease=self._lease)

    def _is_listed(self):
        """Return whether all keys were there when last read.

        A store that went back may have lost them under a living lease.
        """
        return self._member in self._members.members and all(
            shard in self._members.owners for shard in self._owned
        )

    async def _create_owner_key(self, shard, lease):
        key = f"{OWNER_PREFIX}{shard:04d}"
        return await self._store.create(key, pack(self._member), lease=lease)

    async def acquire_shard(self, shard):
        """Try to become the one that owns a shard.

        The key only decides who tries; the journal decides who owns.

        :returns: Whether the key was free.
        :raises StoreUnavailable: The store gave no answer.
        """
        if not self._lease:
            return False
        if await self._create_owner_key(shard, self._lease):
            self._owned.add(shard)
            return True
        return False

    async def release_shard(self, shard):
        """Let others own a shard."""
        self._owned.discard(shard)
        key = f"{OWNER_PREFIX}{shard:04d}"
        try:
            kv = await self._store.get(key)
            if kv is not None and kv.value == pack(self._member):
                await self._store.delete(key, key + "\0")
        except StoreUnavailable as exc:
            _log.debug("release_unanswered", shard=shard, reason=exc)

    async def close(self):
        """Remove all keys of this process."""
        if self._lease:
            try:
                await self._store.revoke(self._lease)
            except StoreUnavailable as exc:
                _log.debug("revoke_unanswered", reason=exc)
