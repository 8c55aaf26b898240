"""Failed attempts of a task or a gang."""

import collections

from radishlanding.workflow.task_id import TaskId


class FailedAttempts:
    """Count the failed attempts of a task, or of a gang as a whole.

    The members of a gang share the numbers of their attempts. An attempt has
    failed once any member has, however many do.

    Earlier builds write no numbers. Failures that they counted are included
    in the count, and which attempts they belong to is unknown.
    """

    __slots__ = ("_key", "_record", "_task")

    def __init__(self, record, task):
        """Find the failed attempts of a task.

        :param record: The :class:`WorkflowRecord`, which has not ended.
        :param task: The :class:`TaskRecord` of a task or of a gang's member.
        """
        parsed = TaskId.parse(task.task_id)
        self._key = f"{parsed.occurrence}.{parsed.step}"
        if not record.is_gang(task.task_id):
            self._key += f".{parsed.index}"
        self._record = record
        self._task = task

    @property
    def _numbers(self):
        return self._record.failed_attempts.get(self._key, [])

    def count(self):
        """Return the number of failed attempts."""
        members = self._record.members(self._task)
        return sum(member.failures for member in members)

    def add(self, attempt):
        """Count a failed attempt, unless it is counted already.

        :param attempt: Its number.
        :returns: Whether the count has risen.
        """
        if attempt in self._numbers:
            return False
        count = self.count()
        has_unnumbered = count > len(self._numbers)
        self._record.failed_attempts.setdefault(self._key, []).append(attempt)
        # Attempts are numbered from 1, so that no more of them have failed.
        # An earlier build has then counted this one at another member.
        if has_unnumbered and count >= attempt:
            return False
        self._task.failures += 1
        return True

    def lacks(self, attempt):
        """Return whether an ended attempt is certainly not counted.

        :param attempt: Its number.
        """
        numbers = self._numbers
        return attempt not in numbers and self.count() == len(numbers)

    def clear(self):
        """Drop the numbers, as the task or the gang is done."""
        self._record.failed_attempts.pop(self._key, None)


def limit_gang_failures(record):
    """Reduce failures of gangs that an earlier build has counted repeatedly.

    It counted an attempt once for each member that failed. No more attempts
    can have failed than have ended.

    :param record: A :class:`WorkflowRecord` of a snapshot.
    """
    steps = record.workflow.steps
    if not any(step.gang for step in steps):
        return
    members = collections.defaultdict(list)
    for task in record.tasks.values():
        parsed = TaskId.parse(task.task_id)
        if steps[parsed.step].gang:
            members[parsed.occurrence, parsed.step].append(task)
    for tasks in members.values():
        ended = max(task.attempt for task in tasks)
        ended -= all(task.is_assigned for task in tasks)
        for task in tasks:
            task.failures = min(task.failures, ended)
            ended -= task.failures
