"""The attempts that a worker lists."""

import dataclasses

from radishlanding.worker.ended_attempt import EndedAttempt
from radishlanding.worker.running_attempt import RunningAttempt


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class AttemptListing:
    """All running attempts, and the ended ones that are not settled.

    :param clock_ms: The worker's own clock, in milliseconds.
    :param born_ms: Unix time of the worker's start, in milliseconds; 0 if it
        is unknown.
    :param running: Running attempts.
    :param ended: Ended attempts.
    """

    clock_ms: int
    born_ms: int
    running: list[RunningAttempt]
    ended: list[EndedAttempt]
