"""Where a task of a workflow stands."""

import dataclasses


@dataclasses.dataclass(slots=True, kw_only=True)
class TaskRecord:
    """The newest attempt of a task.

    :param task_id: Name of the task.
    :param attempt: Number of its newest attempt, 0 before the first.
    :param vm: VM of the attempt that may be running, or an empty string.
    :param boot: Boot of the worker of that attempt.
    :param is_done: Whether an attempt ended with success.
    :param failures: Attempts that failed.
    :param checkpoint: Progress to resume from, or an empty string.
    :param failed_vm: VM on which it failed last, or an empty string.
    """

    task_id: str
    attempt: int = 0
    vm: str = ""
    boot: str = ""
    is_done: bool = False
    failures: int = 0
    checkpoint: str = ""
    failed_vm: str = ""

    @property
    def is_assigned(self):
        """Return whether an attempt may be running."""
        return bool(self.vm)
