"""A shard that the sender owns."""

import dataclasses


@dataclasses.dataclass(slots=True, kw_only=True)
class OwnedShard:
    """A shard that the sender owns.

    :param shard: Number of the shard.
    :param owner_epoch: Epoch of the ownership.
    """

    shard: int
    owner_epoch: int
