"""Ask where a workflow stands."""

import dataclasses


@dataclasses.dataclass(slots=True, kw_only=True)
class GetWorkflow:
    """Ask where a workflow stands.

    :param workflow_id: Identity of the workflow.
    """

    workflow_id: str
