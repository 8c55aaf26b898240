"""Ways in which an attempt ends."""

import enum


class EndKind(enum.StrEnum):
    """Ways in which one attempt of a task ends.

    ``NOT_RUN`` guarantees that the attempt never ran and never will.
    """

    DONE = "done"
    FAILED = "failed"
    INTERRUPTED = "interrupted"
    NOT_RUN = "not_run"
