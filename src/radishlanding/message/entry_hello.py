"""Introduce an entry to a scheduler, and report its revision."""

import dataclasses


@dataclasses.dataclass(slots=True, kw_only=True)
class EntryHello:
    """Introduce an entry to a scheduler, and report its revision.

    :param entry_id: Identity of the entry.
    :param zone: Availability zone of the entry.
    :param revision: Configuration revision in force.
    """

    entry_id: str
    zone: str
    revision: int
