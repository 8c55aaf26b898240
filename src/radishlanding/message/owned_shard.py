"""Shard that a scheduler owns."""

import dataclasses


@dataclasses.dataclass(slots=True, kw_only=True)
class OwnedShard:
    """Shard that a scheduler owns, in an :class:`OwnerReport`.

    :param shard: Number of the shard.
    :param owner_epoch: Epoch of the ownership.
    """

    shard: int
    owner_epoch: int
