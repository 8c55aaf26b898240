"""What a target says of itself."""

import dataclasses

from radishlanding.vm import Capacity


@dataclasses.dataclass(slots=True, kw_only=True)
class Announcement:
    """A target's word that it is up, or leaving.

    :param service: Service that it serves.
    :param address: ``ip:port`` on which it takes requests.
    :param slots: Requests that it runs at once.
    :param connections: Connections that it accepts.
    :param leaving: Whether it takes no new work.
    :param reserve: What it keeps of the VM for itself.
    """

    service: str
    address: str
    slots: int
    connections: int
    leaving: bool = False
    reserve: Capacity = dataclasses.field(default_factory=Capacity)
