"""Cancellation of a workflow."""

import dataclasses

from radishlanding.workflow import QueueRef


@dataclasses.dataclass(slots=True, kw_only=True)
class CancelWorkflow:
    """Cancel a workflow.

    A dispatcher sends it to the leader. The reply is a
    :class:`WorkflowAnswer`.

    :param workflow_id: Identity of the workflow.
    :param request_id: Identity of the caller's request, for the log.
    :param queue: Queue that the caller's request names; builds that tell
        workflows apart by their identity alone send none.
    """

    workflow_id: str
    request_id: str
    queue: QueueRef = QueueRef()
