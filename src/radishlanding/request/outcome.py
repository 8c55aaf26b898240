"""Outcomes that are reported to callers."""

import enum


class Outcome(enum.StrEnum):
    """Outcome of a request or of a job submission.

    ``NOT_RUN`` is reported only if it is known that nothing ran.
    """

    DONE = "done"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"
