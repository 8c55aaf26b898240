"""A key of the store with its value."""

import dataclasses


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class KeyValue:
    """A key with its value and version.

    :param key: Key.
    :param value: Value.
    :param version: Revision of the store at the last change of the key, for
        compare-and-swap.
    """

    key: str
    value: bytes
    version: int
