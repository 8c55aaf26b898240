"""The size of the log, and when it needs a snapshot."""

import dataclasses

# A snapshot costs as much as the state is large, so the entries since the last
# one have to be as large as it, and this many at least. A new leader then
# reads twice the state at most.
MIN_ENTRIES_PER_SNAPSHOT = 150
MAX_ENTRIES_PER_SNAPSHOT = 3000


@dataclasses.dataclass(slots=True, kw_only=True)
class LogSize:
    """Sizes of the last snapshot and of the entries after it.

    :param snapshot_bytes: Size of the snapshot.
    :param entries: Number of entries after it.
    :param entry_bytes: Size of these entries.
    """

    snapshot_bytes: int = 0
    entries: int = 0
    entry_bytes: int = 0

    def add_entry(self, size_bytes):
        """Count one more entry."""
        self.entries += 1
        self.entry_bytes += size_bytes

    def needs_snapshot(self):
        """Return whether enough was written since the snapshot."""
        is_due = self.entry_bytes >= self.snapshot_bytes
        return self.entries >= MAX_ENTRIES_PER_SNAPSHOT or (
            self.entries >= MIN_ENTRIES_PER_SNAPSHOT and is_due
        )
