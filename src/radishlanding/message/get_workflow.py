"""Query of a workflow."""

import dataclasses


@dataclasses.dataclass(slots=True, kw_only=True)
class GetWorkflow:
    """Query the phase of a workflow.

    A dispatcher sends it to the leader. The reply is a
    :class:`WorkflowAnswer`.

    :param workflow_id: Identity of the workflow.
    """

    workflow_id: str
