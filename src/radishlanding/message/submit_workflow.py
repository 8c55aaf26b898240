"""Record a workflow."""

import dataclasses

from radishlanding.workflow import Workflow


@dataclasses.dataclass(slots=True, kw_only=True)
class SubmitWorkflow:
    """Record a workflow, or say that it never runs.

    :param workflow: What to record.
    :param request_id: Id of the caller's request.
    """

    workflow: Workflow
    request_id: str
