"""Reply to the start of a task."""

import dataclasses

from radishlanding.vm import Capacity


@dataclasses.dataclass(slots=True, kw_only=True)
class StartAnswer:
    """Accept or refuse the start of a task.

    An agent replies with it to a :class:`StartTask`.

    :param accepted: Whether the task is started.
    :param reason: Why the start is refused, empty if it is accepted.
    :param free: Free capacity of the VM.
    """

    accepted: bool
    reason: str
    free: Capacity
