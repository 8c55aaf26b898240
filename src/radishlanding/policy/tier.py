"""Precedence among workflows of equal priority."""

import enum

# Workflows older than this multiple of the objective go last: their
# completion has no value left.
EXPIRY_FACTOR = 3.0


class Tier(enum.IntEnum):
    """What a workflow can still reach; smaller tiers go first."""

    ON_TIME = 0
    LATE = 1
    UNSELECTED = 2
    EXPIRED = 3


def tier_by_age(age_ms, objective_ms):
    """Return the tier of a workflow that is selected by its age alone.

    :param age_ms: Age of the workflow, in milliseconds.
    :param objective_ms: Time to complete within, in milliseconds.
    """
    if age_ms > EXPIRY_FACTOR * objective_ms:
        return Tier.EXPIRED
    return Tier.LATE if age_ms > objective_ms else Tier.ON_TIME
