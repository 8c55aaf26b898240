"""The journal of a shard: segments, fencing and snapshots."""

from radishlanding.lazy import lazy_exports

__all__ = [
    "Fenced",
    "Journal",
    "JournalGap",
    "JournalKeys",
    "JournalRolledBack",
    "Segment",
]

__getattr__ = lazy_exports(
    __name__,
    {
        "Fenced": "fenced",
        "Journal": "journal",
        "JournalGap": "gap",
        "JournalKeys": "keys",
        "JournalRolledBack": "rolled_back",
        "Segment": "segment",
    },
)
