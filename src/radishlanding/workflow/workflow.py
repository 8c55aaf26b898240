"""Workflow as its caller submitted it."""

import dataclasses

from radishlanding.workflow.derived_state import DerivedState
from radishlanding.workflow.queue_ref import QueueRef
from radishlanding.workflow.step import Step
from radishlanding.workflow.workflow_shape import WorkflowShape


@dataclasses.dataclass(slots=True, kw_only=True)
class Workflow(DerivedState):
    """Steps of batch work, fixed once accepted.

    :param workflow_id: Identity, chosen by the caller.
    :param queue: Name of the queue that accepted it.
    :param pool: Pool of the VMs that may run it.
    :param spec: Specification for the worker, passed on unchanged.
    :param steps: Its steps, each after those that it depends on.
    :param repeats: Number of scheduled occurrences, 0 for a single one that
        is due immediately.
    :param first_due_ms: Unix time of the first occurrence, in milliseconds.
    :param interval_ms: Time between occurrences, in milliseconds.
    :param accepted_ms: Unix time of its acceptance, in milliseconds.
    :param priority: Smaller numbers go first.
    :param max_attempts: Number of failed attempts of a task or gang that
        fails the workflow, 0 for no limit.
    :param stretch: Objective as a multiple of the critical path.
    :param latency_ms: Additional time that the objective allows, in
        milliseconds.
    :param is_advised: Whether an advisor restricts the VMs that may run it.
    :param base_url: Host and path prefix that it was submitted to, empty if
        unknown.
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
    base_url: str = ""

    @property
    def queue_ref(self):
        """Return the :class:`QueueRef` of its queue."""
        return QueueRef(name=self.queue, base_url=self.base_url)

    @property
    def occurrences(self):
        """Return the number of times that the steps run."""
        return max(1, self.repeats)

    @property
    def is_standing(self):
        """Return whether the workflow runs until it is cancelled."""
        return self.shape.is_standing

    @property
    def shape(self):
        """Return the :class:`WorkflowShape` of the present steps."""
        shape = self._known()
        if shape is None or shape.steps is not self.steps:
            shape = self._derived = WorkflowShape(self.steps)
        return shape

    def due_ms(self, occurrence):
        """Return when an occurrence is due, as Unix time in milliseconds.

        :param occurrence: Number of the occurrence, from 0.
        :returns: 0 for a workflow that is due immediately.
        """
        if not self.repeats:
            return 0
        return self.first_due_ms + occurrence * self.interval_ms

    def critical_path_ms(self):
        """Return the estimated run time of the longest chain of steps.

        :returns: The time in milliseconds.
        """
        return self.shape.critical_path_ms

    def objective_ms(self):
        """Return the time to complete within, in milliseconds."""
        return self.stretch * self.critical_path_ms() + self.latency_ms

    def core_ms(self):
        """Return the estimated core-milliseconds of one occurrence."""
        return sum(step.core_ms for step in self.steps)
