"""Confirm a message that needs no other answer."""

import dataclasses


@dataclasses.dataclass(slots=True, kw_only=True)
class Accepted:
    """Confirm a message that needs no other answer."""
