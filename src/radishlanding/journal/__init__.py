"""The journal of a shard: commits, fence, snapshots."""

from radishlanding.journal.fenced import Fenced
from radishlanding.journal.gap import JournalGap
from radishlanding.journal.journal import Journal
from radishlanding.journal.keys import Keys
from radishlanding.journal.segment import Segment
from radishlanding.journal.went_back import JournalWentBack

__all__ = [
    "Fenced",
    "Journal",
    "JournalGap",
    "JournalWentBack",
    "Keys",
    "Segment",
]
