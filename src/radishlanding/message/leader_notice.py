"""A dispatcher leads now."""

import dataclasses


@dataclasses.dataclass(slots=True, kw_only=True)
class LeaderNotice:
    """Tell peers that the sender leads.

    :param epoch: Epoch of its leadership.
    """

    epoch: int
