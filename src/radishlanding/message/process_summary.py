"""Summary of a process."""

import dataclasses


@dataclasses.dataclass(slots=True, kw_only=True)
class ProcessSummary:
    """Summary of a live process, in a :class:`StatusAnswer`.

    :param kind: Kind of program: agent, dispatcher, entry or scheduler.
    :param process_id: Identity of the process.
    :param zone: Availability zone of the process.
    :param revision: Revision of the configuration that the process has in
        force.
    :param detail: Further facts as key=value pairs, separated by blanks.
    """

    kind: str
    process_id: str
    zone: str
    revision: int
    detail: str = ""
