"""The attempts that a worker lists."""

import dataclasses

from radishlanding.worker.ended_attempt import EndedAttempt
from radishlanding.worker.running_attempt import RunningAttempt


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class AttemptListing:
    """All running attempts, and ended ones that are not settled.

    :param clock_ms: The worker's own clock, in milliseconds.
    :param born_ms: Unix time of the worker's start, in milliseconds; 0 if it
        is unknown.
    :param running: Running attempts.
    :param ended: Ended attempts, the oldest ends first.
    :param is_complete: Whether no end is left out. A worker bounds the length
        of the list, and returns more once these are settled.
    """

    clock_ms: int
    born_ms: int
    running: list[RunningAttempt]
    ended: list[EndedAttempt]
    is_complete: bool
