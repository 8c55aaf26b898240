"""Configuration state and peers for an agent."""

import dataclasses


@dataclasses.dataclass(slots=True, kw_only=True)
class Directory:
    """Tell an agent the zones out of service and the peers to connect to.

    A scheduler sends it to each of its agents as a notice when it changes, and
    to an agent whose revision is older.

    :param revision: Revision of the configuration.
    :param zones_out: Availability zones that are out of service.
    :param entries: Peer addresses of the entries, as ``ip:port``.
    :param schedulers: Peer addresses of the schedulers, as ``ip:port``.
    """

    revision: int
    zones_out: list[str]
    entries: list[str]
    schedulers: list[str]
