"""Registers this process in the store and renews its lease."""

import random

import trio

from radishlanding.dispatch import keys
from radishlanding.observe import EventLog
from radishlanding.store import LeaseExpired
from radishlanding.store import pack
from radishlanding.store import StoreUnavailable
from radishlanding.store import Write
from radishlanding.vm import boot_clock_s

# Bounds how long the keys of a process outlive its crash.
LEASE_TTL_S = 2.0
RENEW_INTERVAL_S = 0.6
RETRY_DELAY_S = 0.2

_log = EventLog("radishlanding.dispatch")


class SiteRegistration:
    """Keep the key of this process registered under a lease."""

    __slots__ = (
        "_changed",
        "_failed_since_s",
        "_member",
        "_site_keys",
        "_store",
        "lease",
    )

    def __init__(self, *, store, member, site_keys):
        """Initialise the registration; :meth:`run` registers.

        :param store: A :class:`radishlanding.store.TransactionalStore`.
        :param member: :class:`radishlanding.membership.Member` that
            describes this process.
        :param site_keys: A :class:`radishlanding.store.PrefixWatch` of the
            site's keys.
        """
        self._changed = trio.Event()
        self._failed_since_s = 0.0
        self._member = member
        self._site_keys = site_keys
        self._store = store
        self.lease = 0

    @property
    def _key(self):
        return keys.member(self._member.process_id)

    async def wait_changed(self):
        """Wait until a new lease has been granted."""
        await self._changed.wait()

    async def run(self):
        """Register and renew the lease until cancelled.

        A lost lease or key is replaced.
        """
        while True:
            delay_s = RENEW_INTERVAL_S
            try:
                await self._renew()
                self._record_success()
            except (StoreUnavailable, LeaseExpired) as exc:
                self._record_failure(exc)
                delay_s = RETRY_DELAY_S
            await trio.sleep(delay_s * random.uniform(0.8, 1.0))

    def _record_failure(self, exc):
        """Log the first of consecutive failures."""
        if not self._failed_since_s:
            self._failed_since_s = boot_clock_s()
            _log.warning("renewal_failed", lease=self.lease, reason=exc)

    def _record_success(self):
        if self._failed_since_s:
            failed_s = boot_clock_s() - self._failed_since_s
            self._failed_since_s = 0.0
            _log.info(
                "renewal_works", lease=self.lease, failed_s=f"{failed_s:.2f}"
            )

    async def _renew(self):
        if self.lease and await self._store.keep_alive(self.lease):
            if self._key in self._site_keys.items or self._site_keys.is_lost:
                return
        else:
            self.lease = await self._store.grant(ttl_s=LEASE_TTL_S)
            self._changed.set()
            self._changed = trio.Event()
        write = Write(
            key=self._key, value=pack(self._member), lease=self.lease
        )
        await self._store.transact(expected={}, writes=[write])
        _log.info("registered", lease=self.lease, key=self._key)

    async def close(self):
        """Revoke the lease, which removes the keys of this process."""
        if self.lease:
            try:
                await self._store.revoke(self.lease)
            except StoreUnavailable as exc:
                _log.info("revoke_unanswered", reason=exc)
