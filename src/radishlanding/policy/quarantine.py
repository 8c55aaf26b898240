"""Keeps tasks off VMs on which everything fails."""

MIN_DISTINCT_TASKS = 3
MIN_DURATION_S = 10.0
MAX_DURATION_S = 600.0


class Quarantine:
    """Track the failures on one VM, and bar new tasks after too many.

    Only distinct tasks count, as one faulty task says nothing of the VM. The
    duration doubles with each further failure. After it the VM is probed
    with one task at a time until one succeeds, or none has failed for the
    longest duration, as a probe may run for long.
    """

    __slots__ = (
        "_duration_s",
        "_failed_tasks",
        "_max_duration_s",
        "_min_distinct",
        "_min_duration_s",
        "_until_s",
    )

    def __init__(
        self,
        *,
        min_distinct=MIN_DISTINCT_TASKS,
        min_duration_s=MIN_DURATION_S,
        max_duration_s=MAX_DURATION_S,
    ):
        """Start without failures.

        :param min_distinct: Number of distinct failed tasks that starts a
            quarantine.
        :param min_duration_s: First duration, in seconds.
        :param max_duration_s: Longest duration, in seconds.
        """
        self._max_duration_s = max_duration_s
        self._min_distinct = min_distinct
        self._min_duration_s = min_duration_s
        self._failed_tasks = set()
        self._duration_s = 0.0
        self._until_s = 0.0

    def record_failure(self, task_id, *, now_s):
        """Record that a task failed; this may start or prolong a quarantine.

        :param task_id: Identity of the task.
        :param now_s: Current time, in seconds.
        """
        self._failed_tasks.add(task_id)
        if len(self._failed_tasks) >= self._min_distinct or self._duration_s:
            self._duration_s = min(
                self._max_duration_s,
                max(self._min_duration_s, self._duration_s * 2),
            )
            self._until_s = now_s + self._duration_s
            self._failed_tasks.clear()

    def record_success(self):
        """Record that a task succeeded; this ends the quarantine."""
        self._failed_tasks.clear()
        self._duration_s = 0.0
        self._until_s = 0.0

    def is_probing(self, now_s):
        """Return whether the VM takes one task at a time.

        :param now_s: Current time, in seconds.
        """
        passed_s = now_s - self._until_s
        return bool(self._duration_s) and 0 <= passed_s < self._max_duration_s

    def max_new_tasks(self, *, running, now_s):
        """Return how many further tasks the VM may take, None for any.

        :param running: Number of tasks on the VM.
        :param now_s: Current time, in seconds.
        """
        if now_s < self._until_s:
            return 0
        return max(0, 1 - running) if self.is_probing(now_s) else None
