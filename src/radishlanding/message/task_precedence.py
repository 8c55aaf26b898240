"""Rank of a best-effort task."""

import dataclasses


@dataclasses.dataclass(slots=True, kw_only=True)
class TaskPrecedence:
    """Rank of a best-effort task, in a :class:`VmReportAck`.

    Ranks compare the tasks of all VMs, so that every agent favours the same
    workflows.

    :param task_id: Identity of the task.
    :param rank: Position in the order of all best-effort tasks; smaller ranks
        are served first.
    """

    task_id: str
    rank: int
