"""A submission that waits to be committed."""

import dataclasses

import trio

from radishlanding.workflow import QueueRef
from radishlanding.workflow import Workflow


@dataclasses.dataclass(slots=True, kw_only=True, eq=False)
class Submission:
    """A new workflow or a cancellation, and its outcome so far.

    :param workflow_id: Identity of the workflow.
    :param queue: Queue that the caller's request names.
    :param workflow: The workflow, None for a cancellation.
    :param is_collected: Whether it is part of an entry that has been or is
        being appended.
    :param is_recorded: Whether its workflow is recorded.
    :param is_absent: Whether a tombstone of its workflow is recorded.
    :param is_released: Whether it was dropped, so that another leader may be
        asked.
    :param settled: Set once callers are to be answered.
    """

    workflow_id: str
    queue: QueueRef
    workflow: Workflow | None = None
    is_collected: bool = False
    is_recorded: bool = False
    is_absent: bool = False
    is_released: bool = False
    settled: trio.Event = dataclasses.field(default_factory=trio.Event)
