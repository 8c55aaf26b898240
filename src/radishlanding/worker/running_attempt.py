"""An attempt that runs on a worker."""

import dataclasses


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class RunningAttempt:
    """What a worker says of a running attempt.

    :param task_id: Name of the task.
    :param attempt: Number of the attempt.
    :param checkpoint: Newest progress to resume from, or an empty string.
    :param progress: Share of its work that is done, in percent.
    :param gauge: Over the last half second, the tail latency of a serving
        task in milliseconds, or the millicores that another task used.
    """

    task_id: str
    attempt: int
    checkpoint: str
    progress: int
    gauge: float
