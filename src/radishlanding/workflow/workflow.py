"""A workflow as its caller asked for it."""

import dataclasses

from radishlanding.workflow.step import Step


@dataclasses.dataclass(slots=True, kw_only=True)
class Workflow:
    """Steps of batch work, fixed when they were accepted.

    :param workflow_id: Identity, chosen by the caller.
    :param queue: Name of the queue that took it.
    :param pool: VMs that may run it.
    :param spec: What the worker is to run; passed on as it is.
    :param steps: Its steps.
    :param repeats: Number of timed occurrences, 0 for one at once.
    :param first_due_ms: Unix time of the first occurrence, in milliseconds.
    :param interval_ms: Time between occurrences, in milliseconds.
    :param accepted_ms: Unix time of its acceptance, in milliseconds.
    :param priority: Smaller numbers go first.
    :param max_attempts: Failed attempts of a task or gang that end it, 0
        for no limit.
    :param stretch: Objective as a multiple of its longest chain of steps.
    :param latency_ms: What the objective allows beyond that, in
        milliseconds.
    :param is_advised: Whether an advisor says which VMs may run it.
    """

    workflow_id: str
    queue: str
    pool: str
    spec: str
    steps: list[Step]
    repeats: int = 0
    first_due_ms: int = 0
    interval_ms: int = 0
    accepted_ms: int = 0
    priority: int = 0
    max_attempts: int = 0
    stretch: float = 1.0
    latency_ms: int = 0
    is_advised: bool = False

    @property
    def occurrences(self):
        """Return how often the steps run."""
        return max(1, self.repeats)

    @property
    def is_standing(self):
        """Return whether it runs until it is cancelled."""
        return any(step.standing for step in self.steps)

    def due_ms(self, occurrence):
        """Return the Unix time at which an occurrence is due, 0 for now."""
        if not self.repeats:
            return 0
        return self.first_due_ms + occurrence * self.interval_ms

    def critical_path_ms(self):
        """Return the estimated run time of the longest chain of steps."""
        ends = []
        for step in self.steps:
            begin = max((ends[number] for number in step.after), default=0)
            ends.append(begin + step.estimated_ms)
        return max(ends, default=0)

    def objective_ms(self):
        """Return the time in which it should be completed."""
        return self.stretch * self.critical_path_ms() + self.latency_ms

    def core_ms(self):
        """Return the estimated work of one occurrence."""
        return sum(step.core_ms for step in self.steps)
