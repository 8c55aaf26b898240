"""Accept or refuse a start."""

import dataclasses

from radishlanding.vm import Capacity


@dataclasses.dataclass(slots=True, kw_only=True)
class StartAnswer:
    """Accept or refuse a start.

    :param accepted: Whether the task runs.
    :param reason: Why it was refused.
    :param free: What the VM has free.
    """

    accepted: bool
    reason: str
    free: Capacity
