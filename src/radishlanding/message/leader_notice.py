"""Announcement of a new leader."""

import dataclasses


@dataclasses.dataclass(slots=True, kw_only=True)
class LeaderNotice:
    """Announce that the sender leads.

    A dispatcher sends it as a notice to all its peers, dispatchers and agents.

    :param epoch: Epoch of the leadership.
    :param process_id: Identity of the leader.
    :param zone: Availability zone of the leader.
    :param address: Peer address of the leader, as ``ip:port``.
    """

    epoch: int
    process_id: str
    zone: str
    address: str
