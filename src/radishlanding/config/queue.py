"""A queue that takes workflows."""

import dataclasses

from radishlanding.config.advisor_timing import AdvisorTiming


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Queue:
    """How the workflows of a queue are treated.

    :param name: Name of the queue.
    :param host: Host of its requests.
    :param prefix: Prefix of the paths of its requests.
    :param pool: VMs that run its tasks.
    :param priority: Smaller numbers go first.
    :param max_attempts: Failed attempts of a task or gang that end its
        workflow, 0 for no limit.
    :param stretch: Objective as a multiple of the longest chain of steps.
    :param latency_ms: What the objective allows beyond that, in
        milliseconds.
    :param timeout_ms: Time for a request's answer, in milliseconds.
    :param advisor_timing: Timing of its advisor; None for a queue without one.
    """

    name: str
    host: str
    prefix: str
    pool: str
    priority: int = 0
    max_attempts: int = 0
    stretch: float = 1.0
    latency_ms: int = 0
    timeout_ms: int = 0
    advisor_timing: AdvisorTiming | None = None
