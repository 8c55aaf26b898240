"""Bounds on what a caller may send."""

import dataclasses


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Limits:
    """Bounds of an HTTP server.

    :param connections: Open connections.
    :param body_bytes: Size of a request's body.
    :param idle_s: Pause between two requests, in seconds.
    :param read_s: Time to receive one request's body, in seconds.
    """

    connections: int = 1024
    body_bytes: int = 1024 * 1024
    idle_s: float = 60.0
    read_s: float = 10.0
