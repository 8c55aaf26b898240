"""What a worker says of a boot that a report names."""

import enum


class BootCheck(enum.Enum):
    """Answer of the worker at an address about an identity and a start.

    ``CONFIRMED``: it is this boot. ``OTHER``: it is not. ``UNDATED``: it has
    this identity, but its answer does not say when it has started.
    """

    CONFIRMED = "confirmed"
    OTHER = "other"
    UNDATED = "undated"
