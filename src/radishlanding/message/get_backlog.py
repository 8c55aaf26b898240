"""Ask how many workflows wait."""

import dataclasses


@dataclasses.dataclass(slots=True, kw_only=True)
class GetBacklog:
    """Ask how many workflows of a queue have not begun.

    :param queue: Name of the queue.
    """

    queue: str
