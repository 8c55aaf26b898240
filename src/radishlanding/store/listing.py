"""The keys of a prefix at one revision."""

import dataclasses

from radishlanding.store.key_value import KeyValue


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Listing:
    """The result of listing a prefix.

    :param items: :class:`KeyValue` objects in the order of their keys.
    :param revision: Revision of the store when the first page was read.
    """

    items: list[KeyValue]
    revision: int
