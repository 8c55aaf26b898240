"""What a read of a prefix gave."""

import dataclasses

from radishlanding.store.key_value import KeyValue


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Listing:
    """Keys of a prefix.

    :param items: Keys in order.
    :param revision: Revision of the store at the first page.
    """

    items: list[KeyValue]
    revision: int
