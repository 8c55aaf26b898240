"""A running attempt in a worker's listing."""

import dataclasses


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class RunningAttempt:
    """An attempt that runs on a worker.

    :param task_id: Identity of the task.
    :param attempt: Number of the attempt.
    :param checkpoint: Newest checkpoint to resume from, or an empty string.
    :param progress: Completed share of its work, in percent.
    :param gauge: Over the last half second, the tail latency of a serving
        task in milliseconds, or the millicores that another task used.
    """

    task_id: str
    attempt: int
    checkpoint: str
    progress: int
    gauge: float
