"""A snapshot of the state of workflows."""

import dataclasses

from radishlanding.dispatch import keys
from radishlanding.store import Write


@dataclasses.dataclass(slots=True, kw_only=True)
class Snapshot:
    """The state after an entry of the log, encoded in chunks.

    :param number: Number of the entry.
    :param epoch: Epoch in which the snapshot is made.
    :param chunks: Values of its keys.
    """

    number: int
    epoch: int
    chunks: list[bytes]

    @property
    def size_bytes(self):
        """Return the size of all chunks."""
        return sum(map(len, self.chunks))

    def keys(self):
        """Return the keys of the chunks."""
        return keys.chunks(self.number, self.epoch, len(self.chunks))

    def writes(self):
        """Return the writes of the chunks."""
        return [
            Write(key=key, value=value)
            for key, value in zip(self.keys(), self.chunks, strict=True)
        ]
