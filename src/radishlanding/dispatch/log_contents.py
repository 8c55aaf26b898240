"""What a new leader finds in the log."""

import dataclasses

from radishlanding.store import is_compressed
from radishlanding.store import unpack_compressed
from radishlanding.workflow import WorkflowRegistry


@dataclasses.dataclass(slots=True, kw_only=True)
class LogContents:
    """The recovered state, and the size of the keys that hold it.

    :param registry: The recovered state.
    :param last_number: Number of the last entry.
    :param snapshot_bytes: Size of the snapshot.
    :param entry_bytes: Size of the entries after the snapshot.
    :param has_compressed: Whether a record that a later leader has to read is
        compressed.
    :param obsolete: Keys of entries that the snapshot contains and that may
        not be removed yet.
    """

    registry: WorkflowRegistry
    last_number: int
    snapshot_bytes: int = 0
    entry_bytes: int = 0
    has_compressed: bool = False
    obsolete: list[str] = dataclasses.field(default_factory=list)

    def unpack(self, cls, value):
        """Return the record of a value that a later leader has to read.

        :param cls: Type of the record.
        :param value: Bytes of the value.
        :raises CorruptRecord: The value holds no such record.
        """
        self.has_compressed |= is_compressed(value)
        return unpack_compressed(cls, value)
