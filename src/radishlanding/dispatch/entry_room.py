"""Bounds the size of an entry of the log."""

from radishlanding.store import pack

# The store takes values of 1 MiB. The rest is for assignments, whose number
# is bounded by the round of placement or the size of a gang.
MAX_ENTRY_BYTES = 700_000
# Leaves room for each kind of change in an entry.
MAX_PART_BYTES = 200_000


class EntryRoom:
    """Divide an entry among the changes that wait for it.

    Sizes are those of the changes as JSON, before compression.
    """

    __slots__ = ("_left_bytes",)

    def __init__(self):
        """Start with an empty entry."""
        self._left_bytes = MAX_ENTRY_BYTES

    def take(self, changes, *, max_bytes):
        """Return the first ones of some changes, as many as fit.

        A change that is larger than an entry is taken by an empty one.

        :param changes: Changes of one kind, as the entry holds them.
        :param max_bytes: Size of all that are taken, which the first one may
            exceed while the entry has room.
        """
        taken, taken_bytes = [], 0
        for change in changes:
            size_bytes = packed_size(change)
            is_first = not taken and (
                size_bytes <= self._left_bytes
                or self._left_bytes == MAX_ENTRY_BYTES
            )
            if not is_first and (
                size_bytes > self._left_bytes
                or taken_bytes + size_bytes > max_bytes
            ):
                break
            taken.append(change)
            taken_bytes += size_bytes
            self._left_bytes = max(0, self._left_bytes - size_bytes)
        return taken


def packed_size(change):
    """Return the size of a change in an entry, in bytes."""
    return len(pack(change)) + len(",")
