"""What a watch has seen."""

import dataclasses

from radishlanding.store.key_value import KeyValue


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class ChangeSet:
    """Changes of a prefix after some revision.

    :param written: Keys that were written, in the order of the changes.
    :param deleted: Keys whose last change was a deletion.
    :param revision: Revision of the store to watch from next.
    """

    written: list[KeyValue]
    deleted: list[str]
    revision: int
