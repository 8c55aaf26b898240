"""Hashing of names to shards and peers."""

import hashlib


def _score(*parts):
    digest = hashlib.blake2b("\0".join(parts).encode(), digest_size=8)
    return int.from_bytes(digest.digest(), "big")


def shard_of(name, *, shards):
    """Return the number of the shard that a name belongs to.

    :param name: Identity of a VM, a job or a request.
    :param shards: Number of shards.
    """
    return _score(name) % shards


def rendezvous(name, candidates):
    """Return the candidates by a name's preference (rendezvous hashing).

    Removing a candidate does not change the order of the others.
    """
    return sorted(candidates, key=lambda other: _score(name, other))
