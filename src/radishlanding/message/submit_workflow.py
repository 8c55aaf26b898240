"""Submission of a workflow."""

import dataclasses

from radishlanding.workflow import Workflow


@dataclasses.dataclass(slots=True, kw_only=True)
class SubmitWorkflow:
    """Submit a workflow.

    A dispatcher sends it to the leader. The reply is a
    :class:`WorkflowAnswer`, which tells whether the workflow is recorded,
    never runs, or is in an uncertain state.

    :param workflow: The workflow to record.
    :param request_id: Identity of the caller's request, for the log.
    """

    workflow: Workflow
    request_id: str
