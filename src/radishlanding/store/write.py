"""A write of a transaction."""

import dataclasses


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Write:
    """A key to write, with its new value.

    :param key: Key.
    :param value: New value.
    :param lease: Lease that the key expires with, 0 for none.
    """

    key: str
    value: bytes
    lease: int = 0
