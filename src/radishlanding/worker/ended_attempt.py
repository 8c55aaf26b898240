"""An attempt that has ended on a worker."""

import dataclasses

from radishlanding.workflow import EndKind


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class EndedAttempt:
    """What a worker says of an attempt that has ended.

    :param number: Number of the end in this boot of the worker, from 1.
    :param task_id: Name of the task.
    :param attempt: Number of the attempt.
    :param kind: How it ended.
    :param reason: The worker's word for it.
    :param checkpoint: Progress to resume from, or an empty string.
    """

    number: int
    task_id: str
    attempt: int
    kind: EndKind
    reason: str
    checkpoint: str
