"""Reply to a message that needs no other reply."""

import dataclasses


@dataclasses.dataclass(slots=True, kw_only=True)
class Accepted:
    """Acknowledge a message that needs no other reply."""
