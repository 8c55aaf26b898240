"""One key of the store."""

import dataclasses


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class KeyValue:
    """A key with its value and version.

    :param key: Key.
    :param value: Value.
    :param version: Grows with every change of the store; compare-and-swap
        takes it.
    """

    key: str
    value: bytes
    version: int
