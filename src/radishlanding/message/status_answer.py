"""The processes that a scheduler knows."""

import dataclasses

from radishlanding.message.process_summary import ProcessSummary


@dataclasses.dataclass(slots=True, kw_only=True)
class StatusAnswer:
    """The processes that a scheduler knows.

    :param processes: One for each process.
    """

    processes: list[ProcessSummary]
