"""One key to write in a transaction."""

import dataclasses


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Write:
    """A key with its new value.

    :param key: Key.
    :param value: Value.
    :param lease: Lease that the key ends with, 0 for none.
    """

    key: str
    value: bytes
    lease: int = 0
