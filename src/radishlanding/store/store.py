"""Interface of a key-value store with single-key operations."""

import typing


class Store(typing.Protocol):
    """Read and change single keys.

    Every method raises :class:`radishlanding.store.StoreUnavailable` when
    the store gives no answer in time.
    """

    async def get(self, key):
        """Return a key as a :class:`KeyValue`, None if it is absent."""

    async def scan(self, prefix, *, start="", limit=0):
        """Return the keys of a prefix in order.

        :param prefix: Prefix of the keys.
        :param start: First key to return; an empty string for the first key
            of the prefix.
        :param limit: Maximum number of keys, 0 for all.
        """

    async def create(self, key, value, *, lease=0):
        """Create a key if it is absent.

        :param lease: Lease that the key expires with, 0 for none.
        :returns: Whether the key was created.
        """

    async def swap(self, key, value, *, version):
        """Replace the value of a key if the key has the expected version.

        :param version: Expected version, 0 for an absent key.
        :returns: Whether the value was replaced.
        """

    async def delete(self, start, end):
        """Delete the keys from start (inclusive) to end (exclusive)."""

    async def grant(self, *, ttl_s):
        """Grant a lease and return its identity."""

    async def keep_alive(self, lease):
        """Extend a lease; return whether it still exists."""

    async def revoke(self, lease):
        """Revoke a lease, which deletes its keys."""
