"""Reply with the processes that a peer knows."""

import dataclasses

from radishlanding.message.process_summary import ProcessSummary


@dataclasses.dataclass(slots=True, kw_only=True)
class StatusAnswer:
    """Return the processes that the sender knows.

    A scheduler or dispatcher replies with it to a :class:`GetStatus`.

    :param processes: Summary of the sender and, from a scheduler, of its
        entries and agents.
    """

    processes: list[ProcessSummary]
