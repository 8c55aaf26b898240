"""Estimates run times from the progress of running tasks."""

import collections
import dataclasses
import statistics

from radishlanding.policy.straggler_mitigation import step_name

# Progress is a whole percent; a figure from less is off by a tenth and more.
MIN_PROGRESS_PERCENT = 10
# An attempt that has worked this long says something without progress, too:
# restoring a checkpoint takes 0.6 s at most.
MIN_WORK_MS = 2000.0
# Tasks of one step whose figures are worth more than an estimate.
MIN_SIBLINGS = 2


@dataclasses.dataclass(slots=True)
class _Attempt:
    """Progress of one attempt since it was first reported."""

    number: int
    first_s: float
    first_progress: int
    last_s: float
    progress: int
    first_full_pace_ms: int
    full_pace_ms: int
    work_ms: float = 0.0

    @property
    def run_ms(self):
        """Return the run time at full pace, None if not known yet."""
        done = self.progress - self.first_progress
        if done < MIN_PROGRESS_PERCENT and self.work_ms < MIN_WORK_MS:
            return None
        return 100 * self.work_ms / max(1, done)


class StepProgress:
    """Compare each running task with its siblings.

    Tasks of one step have about the same run time, whatever their caller
    estimates. What an attempt has worked at full pace, divided by the progress
    that it made meanwhile, is its run time on its VM.
    """

    __slots__ = ("_attempts", "_run_ms")

    def __init__(self):
        """Start without tasks."""
        self._attempts = {}
        self._run_ms = {}

    def update(self, reports, *, now_s):
        """Store the newest reports; tasks without one are dropped.

        :param reports: Tuples of a task's id, the number of its attempt, its
            progress in percent, the time that it has worked at full pace in
            milliseconds, 0 if unknown, and its pace as a share of the full
            one.
        :param now_s: Monotonic time, in seconds.
        """
        before, self._attempts = self._attempts, {}
        for task_id, number, progress, full_pace_ms, pace in reports:
            attempt = before.get(task_id)
            if (
                attempt is None
                or attempt.number != number
                # Falling figures come from an agent that counts anew.
                or full_pace_ms < attempt.full_pace_ms
                or progress < attempt.progress
            ):
                attempt = _Attempt(
                    number=number,
                    first_s=now_s,
                    first_progress=progress,
                    last_s=now_s,
                    progress=progress,
                    first_full_pace_ms=full_pace_ms,
                    full_pace_ms=full_pace_ms,
                )
            if full_pace_ms:
                # The attempt may have worked before its first report here.
                attempt.work_ms = full_pace_ms - attempt.first_full_pace_ms
            else:
                attempt.work_ms += 1000 * pace * (now_s - attempt.last_s)
            attempt.full_pace_ms = full_pace_ms
            attempt.progress, attempt.last_s = progress, now_s
            self._attempts[task_id] = attempt
        run_times = collections.defaultdict(list)
        for task_id, attempt in self._attempts.items():
            if attempt.run_ms is not None:
                run_times[step_name(task_id)].append(attempt.run_ms)
        self._run_ms = {
            name: statistics.median(figures)
            for name, figures in run_times.items()
            if len(figures) >= MIN_SIBLINGS
        }

    def age_ms(self, task_id):
        """Return how long an attempt has been reported, in milliseconds."""
        attempt = self._attempts[task_id]
        return 1000 * (attempt.last_s - attempt.first_s)

    def own_run_ms(self, task_id):
        """Return the run time of a task on its VM at full pace.

        :returns: The time in milliseconds, None if it is not known yet.
        """
        return self._attempts[task_id].run_ms

    def step_run_ms(self, name):
        """Return the median run time of a step's tasks at full pace.

        :param name: Name of the step, see :func:`step_name`.
        :returns: The time in milliseconds, None if too few are known.
        """
        return self._run_ms.get(name)
