"""One attempt on a worker."""

import dataclasses

from radishlanding.message import RunningTask
from radishlanding.message import TaskEndReport
from radishlanding.message import TaskOrder
from radishlanding.policy import FULL_PERCENT
from radishlanding.policy import ProgressMonitor
from radishlanding.workflow import EndKind


@dataclasses.dataclass(slots=True, kw_only=True, eq=False)
class TaskAttempt:
    """An attempt, from its order until its end is on record.

    :param task_id: Name of the task.
    :param attempt: Number of the attempt.
    :param order: What was ordered, None for an attempt that was found.
    :param taken_s: When its order came, on the boot clock.
    :param is_listed: Whether the worker has listed it.
    :param is_confirmed: Whether the worker has said that it runs.
    :param confirmed_s: When it said so, on the boot clock.
    :param is_unsure: Whether a start got no answer, and may come late.
    :param given_up: Why it is to be reported as never run, where a later
        list proves that; empty before.
    :param is_stopping: Whether it is being stopped.
    :param checkpoint: Newest progress to resume from.
    :param progress: Share of its work that is done, in percent.
    :param watch: Follows that.
    :param gauge: Figure of the last half second, see
        :class:`radishlanding.worker.RunningRow`.
    :param gauge_s: When it came, on the boot clock.
    :param pace_percent: Pace that the worker was told, None where an earlier
        agent may have told it any.
    :param end: How it ended, None while it may run.
    :param end_reason: The word for that.
    :param end_number: The worker's number of the end, 0 for none.
    """

    task_id: str
    attempt: int
    order: TaskOrder | None = None
    taken_s: float = 0.0
    is_listed: bool = False
    is_confirmed: bool = False
    confirmed_s: float = 0.0
    is_unsure: bool = False
    given_up: str = ""
    is_stopping: bool = False
    checkpoint: str = ""
    progress: int = 0
    watch: ProgressMonitor = dataclasses.field(default_factory=ProgressMonitor)
    gauge: float = 0.0
    gauge_s: float = 0.0
    pace_percent: int | None = FULL_PERCENT
    end: EndKind | None = None
    end_reason: str = ""
    end_number: int = 0

    @property
    def key(self):
        """Return task and attempt."""
        return self.task_id, self.attempt

    @property
    def latency_share(self):
        """Return its tail latency as a share of its target, 0 for none."""
        if self.order is None or not self.order.latency_target_ms:
            return 0.0
        return self.gauge / self.order.latency_target_ms

    def gauge_age_ms(self, now_s):
        """Return how long ago its figure came, in milliseconds."""
        return int((now_s - self.gauge_s) * 1000)

    def running_report(self):
        """Return what to report while it may run."""
        return RunningTask(
            task_id=self.task_id,
            attempt=self.attempt,
            checkpoint=self.checkpoint,
            progress=self.progress,
            gauge=self.gauge,
            is_stuck=(
                self.order is not None
                and self.watch.is_stuck(self.order.estimated_ms)
            ),
            lacks_order=self.order is None,
        )

    def end_report(self):
        """Return what to report of its end."""
        return TaskEndReport(
            task_id=self.task_id,
            attempt=self.attempt,
            kind=self.end,
            checkpoint=self.checkpoint,
            reason=self.end_reason,
        )
