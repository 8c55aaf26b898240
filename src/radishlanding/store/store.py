"""What the project asks of the platform's key-value service."""

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
        :param start: First key to return, or an empty string for the first.
        :param limit: Greatest number of keys, 0 for all.
        """

    async def create(self, key, value, *, lease=0):
        """Create a key if it is absent; return whether it was.

        :param lease: Lease that the key ends with, 0 for none.
        """

    async def swap(self, key, value, *, version):
        """Replace a key's value if it has that version, 0 for absent.

        :returns: Whether it was replaced.
        """

    async def delete(self, start, end):
        """Delete the keys from start up to, without, end."""

    async def grant(self, *, ttl_s):
        """Return the identity of a new lease."""

    async def keep_alive(self, lease):
        """Extend a lease; return whether it still exists."""

    async def revoke(self, lease):
        """End a lease and delete its keys."""
