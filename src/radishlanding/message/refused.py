"""Refuse a message."""

import dataclasses


@dataclasses.dataclass(slots=True, kw_only=True)
class Refused:
    """Refuse a message.

    :param reason: Why it was refused.
    """

    reason: str
