"""Query of the processes that a peer knows."""

import dataclasses


@dataclasses.dataclass(slots=True, kw_only=True)
class GetStatus:
    """Query the processes that a scheduler or dispatcher knows.

    The reply is a :class:`StatusAnswer`.
    """
