"""One live process, for operators."""

import dataclasses


@dataclasses.dataclass(slots=True, kw_only=True)
class ProcessSummary:
    """One live process, for operators.

    :param kind: Program: entry, scheduler or agent.
    :param process_id: Identity of the process.
    :param zone: Availability zone.
    :param revision: Configuration revision in force.
    :param detail: Further facts as key=value pairs.
    """

    kind: str
    process_id: str
    zone: str
    revision: int
    detail: str = ""
