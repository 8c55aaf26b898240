"""A best-effort task that may be moved."""

import dataclasses

from radishlanding.policy.vm_load import VmLoad
from radishlanding.workflow import Step
from radishlanding.workflow import TaskRecord


@dataclasses.dataclass(slots=True, kw_only=True, eq=False)
class MovableTask:
    """A running best-effort task, as seen by :class:`Migration`.

    :param task: Its record.
    :param step: Its step.
    :param load: Load of its VM.
    :param left_ms: Run time that is left at full pace where it runs, in
        milliseconds.
    :param elsewhere_ms: Run time at full pace that it needs on another VM,
        in milliseconds.
    :param pace: Share of its full speed at which it runs, from 0 to 1.
    :param age_ms: How long the attempt is known to run, in milliseconds.
    :param rank: Its rank, see :class:`TaskPrecedenceOrder`; infinite for
        none.
    :param is_last: Whether only the last tasks of its step are left.
    """

    task: TaskRecord
    step: Step
    load: VmLoad
    left_ms: float
    elsewhere_ms: float
    pace: float
    age_ms: float
    rank: float
    is_last: bool = False
