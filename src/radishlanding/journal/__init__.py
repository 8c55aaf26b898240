"""The journal of a shard: commits, fence, snapshots."""

from radishlanding.lazy import lazy_exports

__all__ = [
    "Fenced",
    "Journal",
    "JournalGap",
    "JournalWentBack",
    "Keys",
    "Segment",
]

__getattr__ = lazy_exports(
    __name__,
    {
        "Fenced": "fenced",
        "Journal": "journal",
        "JournalGap": "gap",
        "JournalWentBack": "went_back",
        "Keys": "keys",
        "Segment": "segment",
    },
)
