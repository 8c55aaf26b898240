"""Operator's decision about a lost task."""

import dataclasses


@dataclasses.dataclass(slots=True, kw_only=True)
class DecideTask:
    """Requeue or abandon a lost task, as an operator decides.

    An entry sends it to the owner of the job's shard. The reply is a
    :class:`JobAnswer`.

    :param task_id: Identity of the task.
    :param again: Whether to requeue the task; if not, it is cancelled.
    """

    task_id: str
    again: bool
