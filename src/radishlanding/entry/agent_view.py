"""The state of one agent as seen by an entry."""

import dataclasses

from radishlanding.message import LoadReport
from radishlanding.peer import Connection


@dataclasses.dataclass(slots=True, kw_only=True, eq=False)
class AgentView:
    """The newest load report of an agent and its connection.

    :param report: Newest load report.
    :param conn: Connection that the report arrived on.
    :param in_flight: Number of requests from this entry that the agent has
        not answered, by service.
    """

    report: LoadReport
    conn: Connection
    in_flight: dict[str, int] = dataclasses.field(default_factory=dict)
