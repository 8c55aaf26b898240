"""How an attempt ended."""

import enum


class EndKind(enum.StrEnum):
    """Ends of one attempt of a task.

    ``NOT_RUN`` is said only where the attempt never ran and never will.
    """

    DONE = "done"
    FAILED = "failed"
    INTERRUPTED = "interrupted"
    NOT_RUN = "not_run"
