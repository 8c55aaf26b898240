"""A leader has lost the store."""

import dataclasses


@dataclasses.dataclass(slots=True, kw_only=True)
class LeaderAway:
    """Ask the other dispatchers to claim the log.

    :param process_id: The leader that cannot record anything.
    """

    process_id: str
