"""Cancel a workflow."""

import dataclasses


@dataclasses.dataclass(slots=True, kw_only=True)
class CancelWorkflow:
    """Cancel a workflow.

    :param workflow_id: Identity of the workflow.
    :param request_id: Id of the caller's request.
    """

    workflow_id: str
    request_id: str
