"""What a caller is told."""

import enum


class Outcome(enum.StrEnum):
    """Outcomes of a request or a job's submission."""

    DONE = "done"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"
