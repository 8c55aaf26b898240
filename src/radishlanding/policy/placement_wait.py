"""Explanation of why a step waits for a VM."""

import dataclasses


@dataclasses.dataclass(slots=True, kw_only=True)
class PlacementWait:
    """A ready step of an idle workflow, and why no VM takes its tasks.

    :param workflow_id: Identity of the workflow.
    :param step: Name of the step, with its occurrence.
    :param tasks: Number of its tasks that wait.
    :param idle_ms: How long the workflow has been idle, in milliseconds.
    :param vms: Number of VMs that would take a task.
    :param refusals: Number of VMs by :class:`Refusal`.
    """

    workflow_id: str
    step: str
    tasks: int
    idle_ms: int
    vms: int
    refusals: dict[str, int]
