"""One process of the site."""

import dataclasses


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Member:
    """Where a process can be reached.

    :param kind: Program: entry, scheduler or dispatcher.
    :param process_id: Unique identity of the process.
    :param zone: Availability zone of its VM.
    :param address: ``ip:port`` for peers.
    :param strength: How well its VM suits a process that leads, in
        millicores; 0 where it does not say.
    """

    kind: str
    process_id: str
    zone: str
    address: str
    strength: int = 0
