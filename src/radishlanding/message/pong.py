"""Reply to a ping."""

import dataclasses


@dataclasses.dataclass(slots=True, kw_only=True)
class Pong:
    """Answer a :class:`Ping`."""
