"""Ways in which an attempt ends."""

import enum


class EndKind(enum.StrEnum):
    """Ways in which one attempt of a task ends.

    Only ``FAILED`` counts towards the limit of attempts. ``INTERRUPTED``
    means that the attempt was stopped or lost. ``NOT_RUN`` guarantees that it
    never ran and never will.
    """

    DONE = "done"
    FAILED = "failed"
    INTERRUPTED = "interrupted"
    NOT_RUN = "not_run"

    @property
    def shows_start(self):
        """Return whether the attempt has certainly run.

        An interrupted one may have been lost before its start.
        """
        return self in (EndKind.DONE, EndKind.FAILED)
