"""One recorded change of a task."""

import dataclasses

from radishlanding.task.state import TaskState


@dataclasses.dataclass(slots=True, kw_only=True)
class Transition:
    """Move a task from one state and epoch to another.

    :param task_id: Identity of the task.
    :param from_state: State that the task must be in.
    :param from_epoch: Epoch that the task must have.
    :param to_state: State after the change.
    :param epoch: Epoch after the change.
    :param vm: VM after the change.
    :param incarnation: Agent incarnation after the change.
    :param checkpoint: Newest checkpoint after the change.
    :param reason: Why, or an empty string.
    :param failed_vm: VM on which it failed, or an empty string.
    """

    task_id: str
    from_state: TaskState
    from_epoch: int
    to_state: TaskState
    epoch: int
    vm: str = ""
    incarnation: str = ""
    checkpoint: str = ""
    reason: str = ""
    failed_vm: str = ""

    def fits(self, task):
        """Return whether the task is where the change starts from."""
        return (
            task is not None
            and not task.state.is_final
            and task.state == self.from_state
            and task.epoch == self.from_epoch
        )

    def apply(self, task):
        """Change the task."""
        task.state = self.to_state
        task.epoch = self.epoch
        task.vm = self.vm
        task.incarnation = self.incarnation
        task.checkpoint = self.checkpoint
        task.reason = self.reason
        if self.failed_vm:
            task.failed_vms.append(self.failed_vm)
