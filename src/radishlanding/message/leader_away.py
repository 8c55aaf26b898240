"""Notice that the leader cannot reach the store."""

import dataclasses


@dataclasses.dataclass(slots=True, kw_only=True)
class LeaderAway:
    """Ask the other dispatchers to take over the leadership.

    A leader sends it as a notice to all its peers when it has lost the store.
    Agents ignore it.

    :param process_id: Identity of that leader.
    """

    process_id: str
