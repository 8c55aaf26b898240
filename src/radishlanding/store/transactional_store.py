"""Interface of a key-value store with watches and transactions."""

import typing


class TransactionalStore(typing.Protocol):
    """Read, watch and change several keys at once.

    Every method raises :class:`radishlanding.store.StoreUnavailable` when
    the store gives no answer in time. A write without an answer may still
    take effect seconds later, if its comparisons succeed then.
    """

    async def get(self, key):
        """Return a key as a :class:`KeyValue`, None if it is absent."""

    async def list(
        self, prefix, *, after="", is_stale_ok=False, silence_s=None
    ):
        """Return the keys of a prefix as a :class:`Listing`.

        :param after: Key to start after, empty for the first one.
        :param is_stale_ok: Whether the result may be some seconds old.
        :param silence_s: Longest time without a byte of a page, in seconds;
            None for the default timeout of a call. A page that proceeds,
            and does not just trickle, is read to its end.
        """

    async def watch(self, prefix, *, after, wait_s):
        """Return the changes after a revision as a :class:`ChangeSet`.

        :param after: Revision of the store.
        :param wait_s: How long to wait for the first change, in seconds.
        :raises HistoryCompacted: The changes are no longer stored.
        """

    async def transact(self, *, expected, writes=(), removes=()):
        """Write and remove keys if keys have the expected versions.

        :param expected: Expected versions by key, 0 for an absent key.
        :param writes: :class:`Write` objects.
        :param removes: Keys.
        :returns: The version of the written keys.
        :raises Conflict: A version differs; nothing was changed.
        :raises LeaseExpired: A lease has expired; nothing was changed.
        :raises WriteRefused: A key or value is not accepted; nothing was
            changed.
        """

    async def grant(self, *, ttl_s):
        """Grant a lease and return its identity."""

    async def keep_alive(self, lease):
        """Extend a lease; return whether it still exists."""

    async def revoke(self, lease):
        """Revoke a lease, which deletes its keys."""
