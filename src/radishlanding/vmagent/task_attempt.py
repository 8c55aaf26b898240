"""An attempt of a task on a worker."""

import dataclasses

from radishlanding.message import RunningTask
from radishlanding.message import TaskEndReport
from radishlanding.message import TaskOrder
from radishlanding.policy import FULL_PERCENT
from radishlanding.policy import ProgressMonitor
from radishlanding.policy import WorkMeter
from radishlanding.vmagent.hedged_call import RETRY_INTERVAL_S
from radishlanding.vmagent.start_deadline import StartDeadline
from radishlanding.workflow import EndKind


@dataclasses.dataclass(slots=True, kw_only=True, eq=False)
class TaskAttempt:
    """State of an attempt, from its order until its end is on record.

    :param task_id: Name of the task.
    :param attempt: Number of the attempt.
    :param vm: Identity of the VM, for the log.
    :param order: The order, None for an attempt of an earlier agent that was
        found on the worker.
    :param accepted_s: When the order arrived, on the boot clock, in seconds.
    :param is_listed: Whether the worker has listed it, as running or ended.
    :param is_confirmed: Whether the worker has listed it, or confirmed its
        start or stop. A list requested after that which lacks it shows that
        it does not run.
    :param confirmed_s: When it was confirmed, on the boot clock, in seconds.
    :param is_sent: Whether a start call of it has been sent, perhaps by an
        earlier agent. Otherwise it cannot run.
    :param first_sent_s: When the first call with its start deadline was sent,
        on the boot clock, in seconds.
    :param start_deadline: The deadline of its starts on the present boot,
        None if no call with one may still be carried out.
    :param has_started: Whether the worker has confirmed its start.
    :param unanswered_starts: Number of start calls without an answer. Even if
        the attempt runs, one of them may be executed by the next boot.
    :param not_run_reason: Reason to report if a later list shows that it
        never ran, empty if it was not given up.
    :param is_stopping: Whether the leader has ordered to stop it.
    :param is_stop_begun: Whether its present boot is being told to stop or
        refuse it, by order or as its start got no answer.
    :param is_stop_accepted: Whether the worker has accepted that.
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
    vm: str = ""
    order: TaskOrder | None = None
    accepted_s: float = 0.0
    is_listed: bool = False
    is_confirmed: bool = False
    confirmed_s: float = 0.0
    is_sent: bool = False
    first_sent_s: float = 0.0
    start_deadline: StartDeadline | None = None
    has_started: bool = False
    unanswered_starts: int = 0
    not_run_reason: str = ""
    is_stopping: bool = False
    is_stop_begun: bool = False
    is_stop_accepted: bool = False
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
    def has_run(self):
        """Return whether the worker has listed it or confirmed its start."""
        return self.is_listed or self.has_started

    @property
    def cannot_run(self):
        """Return whether no call that was sent can have started it."""
        may_run = self.has_run or self.unanswered_starts
        return not self.is_sent or not may_run

    def doubt_s(self, now_s):
        """Return for how long a start of it has had an unknown outcome.

        It is 0 if there is none, or while an answer is still to be expected.

        :param now_s: Current time on the boot clock, in seconds.
        """
        has_outcome = self.has_run or self.end
        if has_outcome or not self.is_sent:
            return 0.0
        open_s = now_s - self.first_sent_s
        return open_s if open_s >= RETRY_INTERVAL_S else 0.0

    def cannot_start_after(self, listing, *, sent_s):
        """Return whether a list shows that no start call has effect any more.

        The worker refuses starts after their deadline. An attempt that such a
        list lacks does not run, and will not.

        :param listing: A :class:`radishlanding.worker.AttemptListing`.
        :param sent_s: When it was requested, on the boot clock, in seconds.
        """
        return (
            self.is_stop_begun
            and self.start_deadline is not None
            and self.start_deadline.precedes(listing, sent_s=sent_s)
        )

    def leave_boot(self):
        """Forget what only held for the boot of the worker that has ended.

        The clock of the next boot starts anew, so that an unanswered start may
        be carried out there after its deadline, or have run on the last boot.
        """
        self.start_deadline = None
        self.not_run_reason = ""
        self.is_stopping = False
        self.is_stop_begun = False
        self.is_stop_accepted = False
        if self.unanswered_starts:
            # A list says nothing before the next boot refuses the start.
            self.is_confirmed = False

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
            # An acknowledged stop confirms no start.
            is_unconfirmed=not (self.is_confirmed and self.has_run),
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
            has_run=self.has_run,
        )
