"""End of an attempt of a task."""

import dataclasses

from radishlanding.workflow.end import EndKind


@dataclasses.dataclass(slots=True, kw_only=True)
class TaskEnd:
    """Record how one attempt of a task ended.

    :param task_id: Identity of the task.
    :param attempt: Number of the attempt.
    :param kind: How it ended.
    :param checkpoint: Progress to resume from, or an empty string.
    """

    task_id: str
    attempt: int
    kind: EndKind
    checkpoint: str = ""
