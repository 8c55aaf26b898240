"""What became of a poll of a worker."""

import enum


class PollResult(enum.Enum):
    """What became of a poll of a worker."""

    # The present boot has answered, or a new one that was not known.
    ANSWERED = enum.auto()
    # The worker has ended, or another one has taken its place.
    GONE = enum.auto()
    LOST = enum.auto()
    # The fencing token or the boot was outdated.
    REFUSED = enum.auto()
