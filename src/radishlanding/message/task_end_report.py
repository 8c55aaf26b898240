"""End of an attempt."""

import dataclasses

from radishlanding.workflow import EndKind


@dataclasses.dataclass(slots=True, kw_only=True)
class TaskEndReport:
    """End of an attempt, in a :class:`VmReport` or :class:`StartOrdersAnswer`.

    :param task_id: Identity of the task.
    :param attempt: Number of the attempt, higher than those of earlier ones.
    :param kind: How the attempt ended.
    :param checkpoint: Checkpoint to resume from, empty for none.
    :param reason: Why the attempt ended, for the log.
    """

    task_id: str
    attempt: int
    kind: EndKind
    checkpoint: str = ""
    reason: str = ""
