"""How a worker answered a start."""

import enum


class StartResult(enum.StrEnum):
    """Answers to a start; all but ``STARTED`` mean that it did nothing.

    ``OLD`` says that this attempt, or a later one, was stopped or has ended
    there; ``LATE`` that the deadline has passed.
    """

    STARTED = "started"
    FENCED = "fenced"
    OLD = "old"
    LATE = "late"
    NO_ROOM = "no_room"
    NO_TICKET = "no_ticket"
    INVALID = "invalid"
    UNHEALTHY = "unhealthy"
    OTHER_BOOT = "other_boot"
