"""An attempt of a task has ended."""

import dataclasses

from radishlanding.workflow.end import EndKind


@dataclasses.dataclass(slots=True, kw_only=True)
class TaskEnd:
    """End one attempt of a task.

    :param task_id: Name of the task.
    :param attempt: Number of the attempt.
    :param kind: How it ended.
    :param checkpoint: Progress to resume from, or an empty string.
    """

    task_id: str
    attempt: int
    kind: EndKind
    checkpoint: str = ""
