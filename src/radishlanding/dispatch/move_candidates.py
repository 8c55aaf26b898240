"""Describes the best-effort tasks that may be moved."""

from radishlanding.policy import has_last_tasks
from radishlanding.policy import MovableTask
from radishlanding.policy import step_name
from radishlanding.policy import StepProgress
from radishlanding.vm import boot_clock_s
from radishlanding.workflow import TaskId

# Stands for the run time of a task without an estimate, which lasts.
UNKNOWN_RUN_MS = 60_000


class MoveCandidates:
    """Predict run times from the reports of running best-effort tasks."""

    __slots__ = ("_fleet", "_progress", "_ranker", "_run_times")

    def __init__(self, *, fleet, ranker, run_times):
        """Initialise without reports.

        :param fleet: The :class:`Fleet`.
        :param ranker: The :class:`TaskRanker`.
        :param run_times: A :class:`radishlanding.policy.RunTimes`, for steps
            whose tasks have not made enough progress to be compared.
        """
        self._fleet = fleet
        self._progress = StepProgress()
        self._ranker = ranker
        self._run_times = run_times

    def find(self, loads):
        """Return the best-effort tasks that run; to be called every second.

        :param loads: The :class:`radishlanding.policy.VmLoad` objects of VMs.
        :returns: :class:`radishlanding.policy.MovableTask` objects.
        """
        found = [
            (*row, self._fleet.sessions[row[3].vm].running[row[1].task_id])
            for row in self._fleet.running_tasks(loads)
            if row[2].fills
        ]
        self._progress.update(
            [
                (
                    item.task_id,
                    item.attempt,
                    item.progress,
                    item.full_pace_ms,
                    _pace(step, item),
                )
                for _, _, step, _, item in found
            ],
            now_s=boot_clock_s(),
        )
        return [self._movable(*row) for row in found]

    def _movable(self, record, task, step, load, item):
        task_id = task.task_id
        parsed_id = TaskId.parse(task_id)
        own_ms = self._progress.own_run_ms(task_id)
        step_ms = self._progress.step_run_ms(step_name(task_id)) or own_ms
        if step_ms is None:
            estimate = self._run_times.estimate(
                record.workflow, parsed_id.step
            )
            step_ms = estimate.run_ms or UNKNOWN_RUN_MS
        left = 1 - min(100, item.progress) / 100
        return MovableTask(
            task=task,
            step=step,
            load=load,
            left_ms=left * (own_ms or step_ms),
            # Other tasks start from nothing.
            elsewhere_ms=step_ms * (left if step.checkpointing else 1),
            pace=_pace(step, item),
            age_ms=self._progress.age_ms(task_id),
            rank=self._ranker.rank_of(task_id),
            is_last=has_last_tasks(
                record, parsed_id.occurrence, parsed_id.step
            ),
        )


def _pace(step, item):
    """Return the share of its full speed at which a task runs.

    An agent that does not report paces reports the processors in use.

    :param item: Its :class:`radishlanding.message.RunningTask`.
    """
    if item.full_pace_ms:
        return item.pace_percent / 100
    if not step.needs.millicores:
        return 1.0
    return min(1.0, item.gauge / step.needs.millicores)
