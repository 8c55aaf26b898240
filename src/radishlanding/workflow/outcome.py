"""What became of a question about a workflow."""

import enum


class WorkflowOutcome(enum.StrEnum):
    """Outcomes of a question.

    ``REFUSED`` is said of a submission only where it never runs.
    ``UNCERTAIN`` says that it is not known whether it took effect.
    """

    FOUND = "found"
    ABSENT = "absent"
    REFUSED = "refused"
    UNCERTAIN = "uncertain"
