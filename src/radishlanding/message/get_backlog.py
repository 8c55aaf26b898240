"""Query of the length of a queue."""

import dataclasses


@dataclasses.dataclass(slots=True, kw_only=True)
class GetBacklog:
    """Query how many workflows of a queue have not started.

    A dispatcher sends it to the leader. The reply is a :class:`BacklogAnswer`.

    :param queue: Name of the queue.
    :param base_url: Host and path prefix of its requests, empty if unknown.
    """

    queue: str
    base_url: str = ""
