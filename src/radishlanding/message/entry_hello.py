"""Message with which an entry introduces itself."""

import dataclasses


@dataclasses.dataclass(slots=True, kw_only=True)
class EntryHello:
    """Introduce an entry to a scheduler, and report its revision.

    An entry sends it every second. The reply is an :class:`OwnerReport`.

    :param entry_id: Identity of the entry.
    :param zone: Availability zone of the entry.
    :param revision: Revision of the configuration that the entry has in force.
    """

    entry_id: str
    zone: str
    revision: int
