"""Exit statuses of ``radishlanding``."""

import enum


class ExitStatus(enum.IntEnum):
    """What an exit status means."""

    OK = 0
    REFUSED = 1
    BAD_INPUT = 2
    CONFLICT = 3
    UNKNOWN = 4
    UNREACHABLE = 5
    TIMED_OUT = 6
