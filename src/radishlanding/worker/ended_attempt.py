"""An ended attempt in a worker's listing."""

import dataclasses

from radishlanding.workflow import EndKind


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class EndedAttempt:
    """An attempt that has ended on a worker.

    :param number: Sequence number of the end in this boot of the worker,
        from 1.
    :param task_id: Identity of the task.
    :param attempt: Number of the attempt.
    :param kind: How the attempt ended.
    :param reason: The reason that the worker gives.
    :param checkpoint: Checkpoint to resume from, or an empty string.
    """

    number: int
    task_id: str
    attempt: int
    kind: EndKind
    reason: str
    checkpoint: str
