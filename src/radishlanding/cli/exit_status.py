"""Exit statuses of ``radishlanding``."""

import enum


class ExitStatus(enum.IntEnum):
    """Outcomes of a command.

    ``REFUSED`` means that an entry refused the call; ``BAD_INPUT`` that a
    file or argument is not valid; ``CONFLICT`` that the call contradicts
    what is recorded; ``UNKNOWN`` that a change may or may not have been
    made; ``UNREACHABLE`` that no entry answered; ``TIMED_OUT`` that an
    accepted revision was not in force everywhere in time.
    """

    OK = 0
    REFUSED = 1
    BAD_INPUT = 2
    CONFLICT = 3
    UNKNOWN = 4
    UNREACHABLE = 5
    TIMED_OUT = 6
