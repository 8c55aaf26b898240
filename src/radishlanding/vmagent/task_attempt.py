"""An attempt of a task on a worker."""

import dataclasses

from radishlanding.message import RunningTask
from radishlanding.message import TaskEndReport
from radishlanding.message import TaskOrder
from radishlanding.policy import FULL_PERCENT
from radishlanding.policy import ProgressMonitor
from radishlanding.policy import WorkMeter
from radishlanding.workflow import EndKind


@dataclasses.dataclass(slots=True, kw_only=True, eq=False)
class TaskAttempt:
    """State of an attempt, from its order until its end is on record.

    :param task_id: Name of the task.
    :param attempt: Number of the attempt.
    :param order: The order, None for an attempt of an earlier agent that was
        found on the worker.
    :param accepted_s: When the order arrived, on the boot clock, in seconds.
    :param is_listed: Whether the worker has listed it as running.
    :param is_confirmed: Whether the worker has listed it, or confirmed its
        start or stop. A list requested after that which lacks it shows that
        it does not run.
    :param confirmed_s: When it was confirmed, on the boot clock, in seconds.
    :param is_sent: Whether a start call of it has been sent, perhaps by an
        earlier agent. Otherwise it cannot run.
    :param is_start_uncertain: Whether a start call got no answer, and may
        still arrive.
    :param unanswered_starts: Number of start calls without an answer. Even if
        the attempt runs, one of them may be executed by the next boot.
    :param not_run_reason: Reason to report if a later list shows that it
        never ran, empty if it was not given up.
    :param is_stopping: Whether it is being stopped.
    :param checkpoint: Newest checkpoint to resume from.
    :param progress: Share of its work that is done, in percent.
    :param progress_monitor: Detects that the progress is too slow.
    :param gauge: Tail latency in milliseconds or used millicores, see
        :class:`radishlanding.worker.RunningAttempt`.
    :param gauge_at_s: When the gauge was read, on the boot clock, in seconds.
    :param pace_percent: Pace that the worker has accepted, None if an earlier
        agent may have set another; changed by :meth:`set_pace`.
    :param work_meter: Time that it has worked, weighted by its pace.
    :param end: How it ended, None while it may run.
    :param end_reason: Why it ended that way.
    :param end_number: The worker's number of the end, 0 for none.
    """

    task_id: str
    attempt: int
    order: TaskOrder | None = None
    accepted_s: float = 0.0
    is_listed: bool = False
    is_confirmed: bool = False
    confirmed_s: float = 0.0
    is_sent: bool = False
    is_start_uncertain: bool = False
    unanswered_starts: int = 0
    not_run_reason: str = ""
    is_stopping: bool = False
    checkpoint: str = ""
    progress: int = 0
    progress_monitor: ProgressMonitor = dataclasses.field(
        default_factory=ProgressMonitor
    )
    gauge: float = 0.0
    gauge_at_s: float = 0.0
    pace_percent: int | None = FULL_PERCENT
    work_meter: WorkMeter = dataclasses.field(default_factory=WorkMeter)
    end: EndKind | None = None
    end_reason: str = ""
    end_number: int = 0

    @property
    def key(self):
        """Return task and attempt."""
        return self.task_id, self.attempt

    @property
    def ends_with_boot(self):
        """Return whether it cannot run once the worker has started again."""
        return self.is_listed and not self.unanswered_starts

    @property
    def latency_share(self):
        """Return the tail latency divided by its target, 0 without one."""
        if self.order is None or not self.order.latency_target_ms:
            return 0.0
        return self.gauge / self.order.latency_target_ms

    def gauge_age_ms(self, now_s):
        """Return the age of the gauge, in milliseconds.

        :param now_s: Current time on the boot clock, in seconds.
        """
        return int((now_s - self.gauge_at_s) * 1000)

    def set_pace(self, percent, *, now_s):
        """Record a pace that the worker has accepted.

        :param percent: The pace, in percent.
        :param now_s: Current time on the boot clock, in seconds.
        """
        self.work_meter.advance(pace_percent=self.pace_percent, now_s=now_s)
        self.pace_percent = percent

    def observe_progress(self, progress, *, now_s):
        """Process the progress that a worker lists.

        :param progress: Share of its work that is done, in percent.
        :param now_s: Current time on the boot clock, in seconds.
        """
        self.progress = progress
        self.progress_monitor.observe(
            progress, pace_percent=self.pace_percent or 0, now_s=now_s
        )
        self.work_meter.observe(
            progress,
            pace_percent=self.pace_percent,
            resumes=self.order is not None and bool(self.order.checkpoint),
            now_s=now_s,
        )

    def running_report(self):
        """Return the report of an attempt that may run."""
        return RunningTask(
            task_id=self.task_id,
            attempt=self.attempt,
            checkpoint=self.checkpoint,
            progress=self.progress,
            gauge=self.gauge,
            is_stuck=(
                self.order is not None
                and self.progress_monitor.is_stuck(self.order.estimated_ms)
            ),
            lacks_order=self.order is None,
            full_pace_ms=self.work_meter.full_pace_ms,
            pace_percent=self.pace_percent or 0,
            # The stop of an attempt that was given up confirms no start.
            is_unconfirmed=not self.is_confirmed
            or (bool(self.not_run_reason) and not self.is_listed),
        )

    def end_report(self):
        """Return the report of an attempt that has ended."""
        return TaskEndReport(
            task_id=self.task_id,
            attempt=self.attempt,
            kind=self.end,
            checkpoint=self.checkpoint,
            reason=self.end_reason,
            full_pace_ms=self.work_meter.full_pace_ms,
        )
