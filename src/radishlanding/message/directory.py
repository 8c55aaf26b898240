"""Tell an agent the configuration and the peers it needs."""

import dataclasses


@dataclasses.dataclass(slots=True, kw_only=True)
class Directory:
    """Tell an agent the configuration and the peers it needs.

    :param revision: Configuration revision.
    :param zones_out: Availability zones out of service.
    :param entries: Peer addresses of the entries.
    :param schedulers: Peer addresses of the schedulers.
    """

    revision: int
    zones_out: list[str]
    entries: list[str]
    schedulers: list[str]
