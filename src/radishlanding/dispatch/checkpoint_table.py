"""The last reported checkpoints of running tasks."""

from radishlanding.workflow import EndKind
from radishlanding.workflow import TaskCheckpoint
from radishlanding.workflow import TaskEnd


class CheckpointTable:
    """Keep the last checkpoint that a VM reported of each task."""

    __slots__ = ("_checkpoints",)

    def __init__(self):
        """Initialise an empty table."""
        self._checkpoints = {}

    def record(self, running):
        """Record the checkpoints in a report.

        :param running: :class:`radishlanding.message.RunningTask` objects.
        """
        for task in running:
            if task.checkpoint:
                self._checkpoints[task.task_id] = task.checkpoint

    def interrupted_end(self, task):
        """Return the end of a task that stopped without a report.

        :param task: A :class:`radishlanding.workflow.TaskRecord`.
        """
        return TaskEnd(
            task_id=task.task_id,
            attempt=task.attempt,
            kind=EndKind.INTERRUPTED,
            checkpoint=self._checkpoints.get(task.task_id, ""),
        )

    def prune(self, registry):
        """Drop the checkpoints of tasks that are no longer assigned.

        :param registry: The :class:`radishlanding.workflow.WorkflowRegistry`.
        """
        self._checkpoints = {
            task_id: checkpoint
            for task_id, checkpoint in self._checkpoints.items()
            if registry.is_assigned(task_id)
        }


def unrecorded_checkpoints(tasks, running):
    """Return the reported checkpoints of a VM that are not on record.

    :param tasks: The :class:`radishlanding.workflow.TaskRecord` objects of
        the tasks assigned to the VM.
    :param running: Its :class:`radishlanding.message.RunningTask` objects by
        task id.
    :returns: :class:`radishlanding.workflow.TaskCheckpoint` objects.
    """
    found = []
    for task in tasks:
        item = running.get(task.task_id)
        if (
            item is not None
            and item.attempt == task.attempt
            and item.checkpoint
            and item.checkpoint != task.checkpoint
        ):
            found.append(
                TaskCheckpoint(
                    task_id=task.task_id,
                    attempt=task.attempt,
                    checkpoint=item.checkpoint,
                )
            )
    return found
