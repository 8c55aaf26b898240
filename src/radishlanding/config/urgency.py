"""Urgency of work."""

import enum


class Urgency(enum.StrEnum):
    """Urgent work is scheduled before the organisation's normal work."""

    URGENT = "urgent"
    NORMAL = "normal"
