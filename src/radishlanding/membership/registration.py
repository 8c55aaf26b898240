"""Registration of this process in the store."""

import random

import trio

from radishlanding.membership.member_watch import MEMBER_PREFIX
from radishlanding.membership.member_watch import OWNER_PREFIX
from radishlanding.observe import EventLog
from radishlanding.store import pack
from radishlanding.store import StoreUnavailable

LEASE_TTL_S = 3
RENEW_INTERVAL_S = 1.0

_log = EventLog("radishlanding.membership")


class Registration:
    """Keep the keys of this process and its shards under one lease."""

    __slots__ = (
        "_lease",
        "_member",
        "_member_watch",
        "_owned_shards",
        "_store",
    )

    def __init__(self, *, store, member, member_watch):
        """Prepare; :meth:`run` registers.

        :param store: A :class:`radishlanding.store.Store`.
        :param member: This process as a :class:`Member`.
        :param member_watch: The :class:`MemberWatch` of the process.
        """
        self._member_watch = member_watch
        self._store = store
        self._member = member
        self._lease = 0
        self._owned_shards = set()

    async def run(self):
        """Register, renew the lease and register again when keys are lost."""
        while True:
            try:
                await self._renew()
            except StoreUnavailable as exc:
                _log.debug("registration_unanswered", reason=exc)
            await trio.sleep(RENEW_INTERVAL_S * random.uniform(0.7, 1.0))

    async def _renew(self):
        if self._lease and await self._store.keep_alive(self._lease):
            if self._is_listed():
                return
        else:
            self._lease = 0
            self._lease = await self._store.grant(ttl_s=LEASE_TTL_S)
        key = f"{MEMBER_PREFIX}{self._member.process_id}"
        await self._store.create(key, pack(self._member), lease=self._lease)
        for shard in sorted(self._owned_shards):
            await self._create_owner_key(shard, self._lease)
        _log.info("registered", lease=self._lease)

    def _is_listed(self):
        """Return whether all keys were present at the last refresh.

        A store that was rolled back may have lost the keys but not the lease.
        """
        return self._member in self._member_watch.members and all(
            shard in self._member_watch.owners for shard in self._owned_shards
        )

    async def _create_owner_key(self, shard, lease):
        key = f"{OWNER_PREFIX}{shard:04d}"
        return await self._store.create(key, pack(self._member), lease=lease)

    async def acquire_shard(self, shard):
        """Try to create the owner key of a shard.

        The key only selects a candidate; ownership is decided by the journal.

        :param shard: Number of the shard.
        :returns: Whether this process created the key.
        :raises radishlanding.store.StoreUnavailable: The store does not
            answer.
        """
        if not self._lease:
            return False
        if await self._create_owner_key(shard, self._lease):
            self._owned_shards.add(shard)
            return True
        return False

    async def release_shard(self, shard):
        """Delete the owner key of a shard if it belongs to this process.

        :param shard: Number of the shard.
        """
        self._owned_shards.discard(shard)
        key = f"{OWNER_PREFIX}{shard:04d}"
        try:
            kv = await self._store.get(key)
            if kv is not None and kv.value == pack(self._member):
                await self._store.delete(key, key + "\0")
        except StoreUnavailable as exc:
            _log.debug("release_unanswered", shard=shard, reason=exc)

    async def close(self):
        """Revoke the lease, which removes all keys of this process."""
        if self._lease:
            try:
                await self._store.revoke(self._lease)
            except StoreUnavailable as exc:
                _log.debug("revoke_unanswered", reason=exc)
