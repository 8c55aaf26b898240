"""A workflow that has not ended, as its order sees it."""

import collections
import dataclasses

from radishlanding.policy.assigned_work import AssignedWork
from radishlanding.policy.size_history import SizeClass
from radishlanding.policy.tier import EXPIRY_FACTOR
from radishlanding.policy.tier import Tier
from radishlanding.workflow import TaskId
from radishlanding.workflow import WorkflowRecord

# A begun workflow may exceed its limits by this share of its objective, as
# its remaining path is known only roughly.
BEGUN_TOLERANCE = 0.25
# The objective is kept unless the estimates change it by more than this
# share, so that ranks do not flip with each sample.
OBJECTIVE_TOLERANCE = 0.1
# The rank in a tier is kept until the density has changed by this share.
DENSITY_TOLERANCE = 0.2


@dataclasses.dataclass(slots=True, kw_only=True, eq=False)
class OpenWorkflow:
    """A finite workflow with what is expected of it.

    :param record: Its record.
    :param core_ms: Work that is left, in core-milliseconds.
    :param total_core_ms: Work of all its tasks, in core-milliseconds.
    :param path_ms: Time that the rest takes at least, in milliseconds.
    :param objective_ms: Time to complete within, in milliseconds.
    :param density: Worth per remaining work; 1 is the queue's mean.
    :param size_class: Its :class:`SizeClass`.
    :param is_late: Whether it is past its objective.
    :param is_expired: Whether its result is worth nothing any more.
    :param tier: Its :class:`Tier` in an overload, None without.
    :param rank: Its place in the tier; smaller goes first.
    """

    record: WorkflowRecord
    core_ms: float = 0.0
    total_core_ms: float = 0.0
    path_ms: float = 0.0
    objective_ms: float = 0.0
    density: float = 0.0
    size_class: SizeClass = SizeClass.REST
    is_late: bool = False
    is_expired: bool = False
    tier: Tier | None = None
    rank: float = 0.0

    def apply(self, left):
        """Take over what is left to do.

        :param left: A :class:`RemainingWork`.
        :returns: Work done since the last call by the estimates of now, in
            core-milliseconds.
        """
        scale = left.total_core_ms / max(self.total_core_ms, 1.0)
        done_core_ms = max(0.0, scale * self.core_ms - left.core_ms)
        self.total_core_ms = left.total_core_ms
        self.core_ms = left.core_ms
        self.path_ms = left.path_ms
        change_ms = abs(left.objective_ms - self.objective_ms)
        if change_ms > OBJECTIVE_TOLERANCE * self.objective_ms:
            self.objective_ms = left.objective_ms
        return done_core_ms

    def assigned_work(self, run_times):
        """Return what its running tasks would use.

        :param run_times: A :class:`RunTimes`.
        :returns: An :class:`AssignedWork`.
        """
        if not self.is_begun:
            return AssignedWork()
        workflow = self.record.workflow
        tasks = collections.Counter(
            TaskId.parse(task.task_id).step
            for task in self.record.tasks.values()
            if task.is_assigned
        )
        work = AssignedWork()
        for number, count in tasks.items():
            work.add(
                count * workflow.steps[number].needs.millicores,
                run_times.estimate(workflow, number).run_ms,
            )
        return work

    def rank_by_density(self):
        """Set the rank, the greatest density first."""
        if abs(self.density + self.rank) > DENSITY_TOLERANCE * self.density:
            self.rank = -self.density

    @property
    def is_begun(self):
        """Return whether a task of it has started or is assigned."""
        return self.record.is_under_way

    @property
    def due_ms(self):
        """Return when it is due, as Unix time in milliseconds."""
        return self.record.workflow.accepted_ms + self.objective_ms

    @property
    def expiry_ms(self):
        """Return when its result is worth nothing, as Unix time in ms."""
        return (
            self.record.workflow.accepted_ms
            + EXPIRY_FACTOR * self.objective_ms
        )

    @property
    def tolerance_ms(self):
        """Return by how much it may be expected to exceed a limit."""
        return BEGUN_TOLERANCE * self.objective_ms if self.is_begun else 0.0
