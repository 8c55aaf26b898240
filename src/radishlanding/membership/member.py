"""A process of a site."""

import dataclasses

from radishlanding.findings import find_address_problem

# Far above any VM; bounds what a corrupt record can claim.
MAX_STRENGTH = 10_000_000


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Member:
    """The identity, address and strength of a process.

    :param kind: Program: entry, scheduler or dispatcher.
    :param process_id: Unique identity of the process.
    :param zone: Availability zone of its VM.
    :param address: ``ip:port`` for peers.
    :param strength: How well its VM suits a leader, in millicores; 0 if
        unknown.
    :raises ValueError: Nothing can connect to the address, or the strength
        is out of range.
    """

    kind: str
    process_id: str
    zone: str
    address: str
    strength: int = 0

    def __post_init__(self):
        """Check the values."""
        problem = find_address_problem(self.address)
        if problem:
            raise ValueError(problem)
        if not 0 <= self.strength <= MAX_STRENGTH:
            raise ValueError(f"strength is not from 0 to {MAX_STRENGTH}")
