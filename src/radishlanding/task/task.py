"""A task: one piece of batch work."""

import dataclasses

from radishlanding.task.state import TaskState


@dataclasses.dataclass(slots=True, kw_only=True)
class Task:
    """A task and its newest assignment.

    :param task_id: Identity: the job's and the number within it.
    :param job_id: Job that it belongs to.
    :param state: Lifecycle state.
    :param epoch: Number of its newest assignment, 0 before the first.
    :param vm: VM of the newest assignment, or an empty string.
    :param incarnation: Agent incarnation of the newest assignment.
    :param checkpoint: Newest checkpoint, or an empty string.
    :param reason: Why it is in this state, or an empty string.
    :param failed_vms: VMs on which it failed.
    """

    task_id: str
    job_id: str
    state: TaskState = TaskState.QUEUED
    epoch: int = 0
    vm: str = ""
    incarnation: str = ""
    checkpoint: str = ""
    reason: str = ""
    failed_vms: list[str] = dataclasses.field(default_factory=list)
