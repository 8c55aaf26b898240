"""How urgent work is."""

import enum


class Urgency(enum.StrEnum):
    """Urgent work goes before normal work of the same organisation."""

    URGENT = "urgent"
    NORMAL = "normal"
