"""Precedence among workflows of equal priority."""

import enum


class Tier(enum.IntEnum):
    """What a workflow can still reach; smaller tiers go first."""

    ON_TIME = 0
    LATE = 1
    UNSELECTED = 2
    EXPIRED = 3
