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
    :param full_pace_ms: Time that the attempt has worked, weighted by its
        pace, in milliseconds, as in :class:`RunningTask`; until its end if it
        is done, and else until the last listing. 0 from an agent that does
        not measure it.
    :param has_run: Whether the worker has confirmed the start of the attempt,
        or has listed it. Never set by agents of earlier versions.
    """

    task_id: str
    attempt: int
    kind: EndKind
    checkpoint: str = ""
    reason: str = ""
    full_pace_ms: int = 0
    has_run: bool = False
