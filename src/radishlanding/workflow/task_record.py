"""State of a task of a workflow."""

import dataclasses


@dataclasses.dataclass(slots=True, kw_only=True)
class TaskRecord:
    """State of a task and of its latest attempt.

    :param task_id: Identity of the task.
    :param attempt: Number of its latest attempt, 0 before the first.
    :param vm: VM that the attempt is assigned to, empty after its end.
    :param boot: Boot of the worker that the attempt is assigned to, empty
        after its end.
    :param is_done: Whether an attempt succeeded.
    :param failures: Number of failed attempts, where the workflow limits
        them. A gang's count at the first member whose failure is on record.
    :param checkpoint: Progress to resume from, empty for none.
    :param failed_vm: VM on which the latest failed attempt ran, empty for
        none.
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
        """Return whether an attempt is assigned, and may be running."""
        return bool(self.vm)
