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
    :param full_pace_ms: Time that the attempt has worked, weighted by its
        pace, in milliseconds, until the listing that gave ``progress``. It
        counts from the first listing, and is 1 there; 0 before, and from an
        agent that does not measure it.
    :param pace_percent: Pace in force, in percent of the full one; without
        meaning where ``full_pace_ms`` is 0.
    :param lacks_order: Whether the agent has found the attempt on its worker
        and does not know its order.
    :param is_unconfirmed: Whether the worker, in its present boot, has neither
        listed the attempt nor confirmed its start. Never set by agents of
        earlier versions, whose attempts thus read as confirmed.
    """

    task_id: str
    attempt: int
    checkpoint: str = ""
    progress: int = 0
    gauge: float = 0.0
    is_stuck: bool = False
    lacks_order: bool = False
    full_pace_ms: int = 0
    pace_percent: int = 0
    is_unconfirmed: bool = False
