"""Maps names to shards and peers."""

import hashlib


def _score(*names):
    digest = hashlib.blake2b("\0".join(names).encode(), digest_size=8)
    return int.from_bytes(digest.digest(), "big")


def shard_of(name, *, shards):
    """Return the number of the shard that a name belongs to.

    :param name: A VM, job or request key.
    :param shards: Number of shards.
    """
    return _score(name) % shards


def rendezvous(name, candidates):
    """Return the candidates in the order in which a name prefers them.

    Removing one candidate changes nothing in the order of the others.
    """
    return sorted(candidates, key=lambda other: _score(name, other))
