"""Limits of an HTTP server."""

import dataclasses


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Limits:
    """Limits that an HTTP server sets to its clients.

    :param connections: Number of open connections; beyond it, connections
        without a request in progress are closed, and new ones refused.
    :param header_bytes: Size of a request line and its headers, in bytes.
    :param body_bytes: Size of a request body, in bytes.
    :param idle_s: Time to wait for the first byte of the next request, in
        seconds.
    :param header_s: Time from that byte to the end of the headers, in
        seconds.
    :param read_s: Time to receive a request body, in seconds.
    """

    connections: int = 1024
    header_bytes: int = 16 * 1024
    body_bytes: int = 1024 * 1024
    idle_s: float = 60.0
    header_s: float = 10.0
    read_s: float = 10.0
