"""Tell which shards a scheduler owns."""

import dataclasses

from radishlanding.message.owned_shard import OwnedShard


@dataclasses.dataclass(slots=True, kw_only=True)
class OwnerReport:
    """Tell which shards a scheduler owns.

    :param owners: Shards that it owns.
    """

    owners: list[OwnedShard]
