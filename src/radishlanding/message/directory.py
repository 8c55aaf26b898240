"""Configuration state and peers for an agent."""

import dataclasses
import zlib


@dataclasses.dataclass(slots=True, kw_only=True)
class Directory:
    """Tell an agent the zones out of service and the peers to connect to.

    A scheduler sends it to each of its agents as a notice when it changes, and
    to an agent whose heartbeat says that it follows another one.

    :param revision: Revision of the configuration.
    :param zones_out: Availability zones that are out of service.
    :param entries: Peer addresses of the entries, as ``ip:port``.
    :param schedulers: Peer addresses of the schedulers, as ``ip:port``.
    """

    revision: int
    zones_out: list[str]
    entries: list[str]
    schedulers: list[str]

    def digest(self):
        """Return a checksum of the content, from 0 to 2**32 - 1."""
        return zlib.crc32(repr(dataclasses.astuple(self)).encode())
