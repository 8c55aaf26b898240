"""Results of starting an attempt."""

import enum


class StartResult(enum.StrEnum):
    """A worker's answer to a start; only ``STARTED`` has an effect.

    ``NOT_SENT`` stands for a call that was withdrawn before it was sent.
    ``OLD`` means that this attempt, or a later one, was stopped or has ended
    on the worker; ``LATE`` means that the deadline has passed.
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
    NOT_SENT = "not_sent"
