"""Shards that a scheduler owns."""

import dataclasses

from radishlanding.message.owned_shard import OwnedShard


@dataclasses.dataclass(slots=True, kw_only=True)
class OwnerReport:
    """Tell an entry which shards a scheduler owns.

    A scheduler replies with it to an :class:`EntryHello`, and sends it as a
    notice when its shards change.

    :param owners: Shards that the sender owns.
    """

    owners: list[OwnedShard]
