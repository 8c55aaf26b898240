"""Liveness check of a connection."""

import dataclasses


@dataclasses.dataclass(slots=True, kw_only=True)
class Ping:
    """Check whether the peer still responds.

    Either side of a connection sends it. The reply is a :class:`Pong`.
    """
