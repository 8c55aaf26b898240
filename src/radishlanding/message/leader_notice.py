"""A dispatcher leads now."""

import dataclasses


@dataclasses.dataclass(slots=True, kw_only=True)
class LeaderNotice:
    """Tell peers that the sender leads.

    :param epoch: Epoch of its leadership.
    :param process_id: Its identity.
    :param zone: Availability zone of its VM.
    :param address: ``ip:port`` for peers.
    """

    epoch: int
    process_id: str
    zone: str
    address: str
