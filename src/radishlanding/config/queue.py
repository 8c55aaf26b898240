"""A queue of workflows."""

import dataclasses

from radishlanding.config.advisor_timing import AdvisorTiming


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Queue:
    """Routing and scheduling parameters of a queue of workflows.

    :param name: Name of the queue.
    :param host: Host of the requests that it accepts.
    :param prefix: Path prefix of the requests that it accepts.
    :param pool: Pool of VMs that runs its tasks.
    :param priority: Queues with smaller numbers are served first.
    :param max_attempts: Number of failed attempts of a task or gang after
        which its workflow fails, 0 for no limit.
    :param stretch: Objective as a multiple of the critical path of a
        workflow.
    :param latency_ms: Constant that is added to the objective, in
        milliseconds.
    :param timeout_ms: Timeout of a request, in milliseconds.
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

    @property
    def base_url(self):
        """Return the host and path prefix of its requests."""
        return self.host + self.prefix
