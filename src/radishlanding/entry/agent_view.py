"""What an entry knows of one agent."""

import dataclasses

from radishlanding.message import LoadReport
from radishlanding.peer import Connection


@dataclasses.dataclass(slots=True, kw_only=True, eq=False)
class AgentView:
    """An agent that reports its load here.

    :param report: Its newest report.
    :param conn: Connection on which it came.
    :param in_flight: Requests that this entry has sent it, by service.
    """

    report: LoadReport
    conn: Connection
    in_flight: dict[str, int] = dataclasses.field(default_factory=dict)
