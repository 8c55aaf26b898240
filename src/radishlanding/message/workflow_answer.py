"""Reply to a message about a workflow."""

import dataclasses

from radishlanding.workflow import WorkflowOutcome


@dataclasses.dataclass(slots=True, kw_only=True)
class WorkflowAnswer:
    """Return the outcome of a message about a workflow.

    A leader replies with it to a :class:`SubmitWorkflow`, :class:`GetWorkflow`
    or :class:`CancelWorkflow`.

    :param outcome: Outcome of the call.
    :param phase: Phase on record, empty for none.
    :param retry_after_s: When the caller should retry, in seconds, 0 for no
        advice.
    :param reason: Why, for the log.
    """

    outcome: WorkflowOutcome
    phase: str = ""
    retry_after_s: int = 0
    reason: str = ""
