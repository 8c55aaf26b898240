"""The changes that a watch returns."""

import dataclasses

from radishlanding.store.key_value import KeyValue


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class ChangeSet:
    """The changes of a prefix after a revision.

    :param written: Written keys, in the order of the changes.
    :param deleted: Keys whose last change was a deletion.
    :param revision: Revision of the store from which to watch next.
    """

    written: list[KeyValue]
    deleted: list[str]
    revision: int
