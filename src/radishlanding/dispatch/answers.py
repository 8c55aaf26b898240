"""Answers of a leader to calls about workflows."""

from radishlanding.message import WorkflowAnswer
from radishlanding.workflow import WorkflowOutcome

# Store outages last seconds; callers retry once a second until they are over.
RETRY_AFTER_S = 1


def found_answer(record):
    """Return the answer for a recorded workflow."""
    return WorkflowAnswer(
        outcome=WorkflowOutcome.FOUND,
        phase=record.shown,
        retry_after_s=0,
    )


def refused_answer(reason, *, retry_after_s=RETRY_AFTER_S):
    """Return the answer for a call that had no effect.

    :param reason: Why, for the log.
    :param retry_after_s: When its caller may call again, in seconds.
    """
    return WorkflowAnswer(
        outcome=WorkflowOutcome.REFUSED,
        retry_after_s=retry_after_s,
        reason=reason,
    )
