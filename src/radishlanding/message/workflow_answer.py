"""The answer to a question about a workflow."""

import dataclasses

from radishlanding.workflow import WorkflowOutcome


@dataclasses.dataclass(slots=True, kw_only=True)
class WorkflowAnswer:
    """Say what is on record.

    :param outcome: What became of the question.
    :param phase: Phase on record, or an empty string.
    :param retry_after_s: When to come back, in seconds, 0 for no advice.
    :param reason: Why, for the log.
    """

    outcome: WorkflowOutcome
    phase: str = ""
    retry_after_s: int = 0
    reason: str = ""
