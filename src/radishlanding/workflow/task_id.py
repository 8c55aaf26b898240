"""Identities of tasks."""

import functools
import typing

# Bounds the memory of the cache of parsed identities.
MAX_PARSED = 8192


class TaskId(typing.NamedTuple):
    """Parts of the identity of a task.

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
    @functools.lru_cache(maxsize=MAX_PARSED)
    def parse(cls, text):
        """Parse the identity of a task.

        :param text: Identity as :func:`task_id` returns it.
        :raises ValueError: The text is not the identity of a task.
        """
        workflow_id, occurrence, step, index = text.split(".")
        return cls(workflow_id, int(occurrence), int(step), int(index))


def task_id(workflow_id, occurrence, step, index):
    """Return the identity of a task as a string."""
    return f"{workflow_id}.{occurrence}.{step}.{index}"
