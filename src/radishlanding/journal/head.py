"""The head record of a journal, which points to its snapshot."""

import dataclasses


@dataclasses.dataclass(slots=True, kw_only=True)
class Head:
    """The newest snapshot of a shard.

    :param number: Number of the last segment that the snapshot covers.
    :param snapshot: Prefix of the snapshot's keys.
    :param chunks: Number of chunks, each stored under its own key.
    """

    number: int = 0
    snapshot: str = ""
    chunks: int = 0
