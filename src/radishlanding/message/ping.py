"""Ask whether the peer still answers."""

import dataclasses


@dataclasses.dataclass(slots=True, kw_only=True)
class Ping:
    """Ask whether the peer still answers."""
