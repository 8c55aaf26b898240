"""State transition of a task."""

import dataclasses

from radishlanding.task.state import TaskState


@dataclasses.dataclass(slots=True, kw_only=True)
class Transition:
    """A transition of a task from one state and epoch to another.

    :param task_id: Identity of the task.
    :param from_state: State in which it applies.
    :param from_epoch: Epoch at which it applies.
    :param to_state: New state.
    :param epoch: New epoch.
    :param vm: New VM, or an empty string.
    :param incarnation: New agent incarnation, or an empty string.
    :param checkpoint: Newest checkpoint, or an empty string.
    :param reason: Reason of the transition, or an empty string.
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

    def applies_to(self, task):
        """Return whether a task is in the state and epoch to start from.

        :param task: A :class:`Task`, None for one that is not known.
        """
        return (
            task is not None
            and not task.state.is_final
            and task.state == self.from_state
            and task.epoch == self.from_epoch
        )

    def apply(self, task):
        """Update a task with the new values."""
        task.state = self.to_state
        task.epoch = self.epoch
        task.vm = self.vm
        task.incarnation = self.incarnation
        task.checkpoint = self.checkpoint
        task.reason = self.reason
        if self.failed_vm:
            task.failed_vms.append(self.failed_vm)
