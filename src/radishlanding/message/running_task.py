"""An attempt that runs on a VM."""

import dataclasses


@dataclasses.dataclass(slots=True, kw_only=True)
class RunningTask:
    """What a VM says of a running attempt.

    :param task_id: Name of the task.
    :param attempt: Number of the attempt.
    :param checkpoint: Newest progress to resume from, or an empty string.
    :param gauge: Over the last half second, the tail latency of a serving
        task in milliseconds, or the millicores that another task used.
    :param progress: Share of its work that is done, in percent.
    :param is_stuck: Whether it proceeds far more slowly than estimated.
    :param lacks_order: Whether the agent has found it, and knows nothing
        else of it.
    """

    task_id: str
    attempt: int
    checkpoint: str = ""
    progress: int = 0
    gauge: float = 0.0
    is_stuck: bool = False
    lacks_order: bool = False
