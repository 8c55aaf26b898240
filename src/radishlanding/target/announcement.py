"""The announcement of a target."""

import dataclasses

from radishlanding.vm import Capacity


@dataclasses.dataclass(slots=True, kw_only=True)
class Announcement:
    """The state of a target as it reports it periodically.

    :param service: Service that it serves.
    :param address: ``ip:port`` on which it accepts requests.
    :param slots: Number of requests that it runs concurrently.
    :param connections: Number of connections that it accepts.
    :param leaving: Whether it accepts no new requests.
    :param reserve: Capacity of the VM that is reserved for it.
    """

    service: str
    address: str
    slots: int
    connections: int
    leaving: bool = False
    reserve: Capacity = dataclasses.field(default_factory=Capacity)
