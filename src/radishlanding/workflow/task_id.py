"""Names of tasks."""

import typing


class TaskId(typing.NamedTuple):
    """Where a task stands in its workflow.

    :param workflow_id: Identity of the workflow.
    :param occurrence: Number of the occurrence, from 0.
    :param step: Number of the step, from 0.
    :param index: Number of the task in its step, from 0.
    """

    workflow_id: str
    occurrence: int
    step: int
    index: int

    @classmethod
    def parse(cls, text):
        """Return the place that a name holds.

        :raises ValueError: The text names no task.
        """
        workflow_id, occurrence, step, index = text.split(".")
        return cls(workflow_id, int(occurrence), int(step), int(index))


def task_id(workflow_id, occurrence, step, index):
    """Return the name of a task."""
    return f"{workflow_id}.{occurrence}.{step}.{index}"
