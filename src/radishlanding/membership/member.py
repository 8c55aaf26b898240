"""A process of a site."""

import dataclasses


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Member:
    """The identity, address and strength of a process.

    :param kind: Program: entry, scheduler or dispatcher.
    :param process_id: Unique identity of the process.
    :param zone: Availability zone of its VM.
    :param address: ``ip:port`` for peers.
    :param strength: How well its VM suits a leader, in millicores; 0 if
        unknown.
    """

    kind: str
    process_id: str
    zone: str
    address: str
    strength: int = 0
