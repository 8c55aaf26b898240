"""State of a running attempt."""

import dataclasses


@dataclasses.dataclass(slots=True, kw_only=True)
class RunningTask:
    """State of a running attempt on a VM, in a :class:`VmReport`.

    :param task_id: Identity of the task.
    :param attempt: Number of the attempt, higher than those of earlier ones.
    :param checkpoint: Newest checkpoint to resume from, empty for none.
    :param gauge: Over the last half second, the tail latency of a serving task
        in milliseconds, or the millicores that another task used.
    :param progress: Share of the work that is done, in percent.
    :param is_stuck: Whether the attempt proceeds far more slowly than
        estimated.
    :param lacks_order: Whether the agent has found the attempt on its worker
        and does not know its order.
    """

    task_id: str
    attempt: int
    checkpoint: str = ""
    progress: int = 0
    gauge: float = 0.0
    is_stuck: bool = False
    lacks_order: bool = False
