"""What a worker lists."""

import dataclasses

from radishlanding.worker.ended_attempt import EndedAttempt
from radishlanding.worker.running_attempt import RunningAttempt


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class AttemptListing:
    """Everything that runs, and the ends that it was not told to forget.

    :param clock_ms: The worker's own clock, in milliseconds.
    :param born_ms: Unix time of the worker's start, in milliseconds, 0 if
        it does not say.
    :param running: What runs.
    :param ended: What has ended.
    """

    clock_ms: int
    born_ms: int
    running: list[RunningAttempt]
    ended: list[EndedAttempt]
