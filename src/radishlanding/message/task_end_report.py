"""How an attempt ended, as its VM tells."""

import dataclasses

from radishlanding.workflow import EndKind


@dataclasses.dataclass(slots=True, kw_only=True)
class TaskEndReport:
    """The end of one attempt.

    :param task_id: Name of the task.
    :param attempt: Number of the attempt.
    :param kind: How it ended.
    :param checkpoint: Progress to resume from, or an empty string.
    :param reason: Why, for the log.
    """

    task_id: str
    attempt: int
    kind: EndKind
    checkpoint: str = ""
    reason: str = ""
