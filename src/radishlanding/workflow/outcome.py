"""Outcome of a call about a workflow."""

import enum


class WorkflowOutcome(enum.StrEnum):
    """Outcomes of a submission, query or cancellation.

    ``REFUSED`` guarantees that a submitted workflow never runs.
    ``UNCERTAIN`` means that the call may or may not have taken effect.
    """

    FOUND = "found"
    ABSENT = "absent"
    REFUSED = "refused"
    UNCERTAIN = "uncertain"
