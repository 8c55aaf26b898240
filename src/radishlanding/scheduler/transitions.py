"""State transitions of a task."""

from radishlanding.task import TaskPhase
from radishlanding.task import TaskState
from radishlanding.task import Transition

MAX_FAILED_VMS = 3


def assign(task, *, vm, incarnation):
    """Return the transition that assigns a queued task to a VM."""
    return Transition(
        task_id=task.task_id,
        from_state=task.state,
        from_epoch=task.epoch,
        to_state=TaskState.ASSIGNED,
        epoch=task.epoch + 1,
        vm=vm,
        incarnation=incarnation,
        checkpoint=task.checkpoint,
    )


def end(task, state, *, reason="", checkpoint=None, failed_vm=""):
    """Return the transition of a task to a state in which it has no VM.

    :param task: The task.
    :param state: New state.
    :param reason: Reason to record, or an empty string.
    :param checkpoint: Newest checkpoint, None to keep the recorded one.
    :param failed_vm: VM on which it failed, or an empty string.
    """
    return Transition(
        task_id=task.task_id,
        from_state=task.state,
        from_epoch=task.epoch,
        to_state=state,
        epoch=task.epoch,
        checkpoint=task.checkpoint if checkpoint is None else checkpoint,
        reason=reason,
        failed_vm=failed_vm,
    )


def record_checkpoint(task, checkpoint):
    """Return the transition that records a running task's checkpoint."""
    return Transition(
        task_id=task.task_id,
        from_state=task.state,
        from_epoch=task.epoch,
        to_state=task.state,
        epoch=task.epoch,
        vm=task.vm,
        incarnation=task.incarnation,
        checkpoint=checkpoint,
        reason=task.reason,
    )


def cancel(task):
    """Return the transition that cancels a task that has not ended."""
    if not task.state.is_on_vm:
        return end(task, TaskState.CANCELLED, reason="cancelled")
    return Transition(
        task_id=task.task_id,
        from_state=task.state,
        from_epoch=task.epoch,
        to_state=TaskState.CANCELLING,
        epoch=task.epoch,
        vm=task.vm,
        incarnation=task.incarnation,
        checkpoint=task.checkpoint,
        reason="cancelled",
    )


def not_started(task, *, reason):
    """Return the transition of a task whose assignment never ran.

    The task is queued again, unless it is being cancelled.
    """
    if task.state == TaskState.CANCELLING:
        return end(task, TaskState.CANCELLED, reason="cancelled")
    return end(task, TaskState.QUEUED, reason=reason)


def interrupted(task, job, *, reason, checkpoint=""):
    """Return the transition of a task that stopped without a checkpoint.

    It may have done work after its newest checkpoint. An idempotent task is
    queued again from there; any other is lost until an operator decides.

    :param task: The task.
    :param job: The task's job.
    :param reason: Reason to record.
    :param checkpoint: Newest checkpoint that the worker reported, or an empty
        string. It may be newer than the recorded one, as an agent may end
        before it reports a checkpoint.
    """
    if task.state == TaskState.CANCELLING:
        return end(task, TaskState.CANCELLED, reason=reason)
    if job.is_idempotent:
        return end(
            task,
            TaskState.QUEUED,
            reason=reason,
            checkpoint=checkpoint or None,
        )
    return end(task, TaskState.LOST, reason=reason)


def failed(task, job, *, reason):
    """Return the transition of a task that failed on its VM.

    An idempotent task is queued again until it has failed on
    MAX_FAILED_VMS different VMs.
    """
    if task.state == TaskState.CANCELLING:
        state = TaskState.CANCELLED
    elif not job.is_idempotent:
        state = TaskState.FAILED
    else:
        vms = {*task.failed_vms, task.vm}
        is_out_of_retries = len(vms) >= MAX_FAILED_VMS
        state = TaskState.FAILED if is_out_of_retries else TaskState.QUEUED
    return end(task, state, reason=reason, failed_vm=task.vm)


def from_status(task, job, status):
    """Return the transition that a reported status implies.

    :param task: The task.
    :param job: The task's job.
    :param status: The :class:`radishlanding.message.TaskStatus` of the
        task's assignment.
    :returns: A transition, or None where nothing has changed.
    """
    if status.phase == TaskPhase.DONE:
        return end(task, TaskState.DONE)
    if status.phase == TaskPhase.FAILED:
        return failed(task, job, reason=status.reason)
    if status.phase == TaskPhase.STOPPED:
        return interrupted(
            task,
            job,
            reason=status.reason or "stopped",
            checkpoint=status.checkpoint,
        )
    if status.phase == TaskPhase.CHECKPOINTED:
        if task.state == TaskState.CANCELLING:
            return end(task, TaskState.CANCELLED, reason="cancelled")
        return end(
            task,
            TaskState.QUEUED,
            reason=status.reason or "evicted",
            checkpoint=status.checkpoint,
        )
    if status.checkpoint and status.checkpoint != task.checkpoint:
        return record_checkpoint(task, status.checkpoint)
    return None


def from_late_status(task, status):
    """Return the transition that the status of an earlier assignment implies.

    A VM whose lease expired while it was cut off may still report how the
    assignment ended. The report holds until the task is assigned again.

    :param task: The task, which is on no VM.
    :param status: The :class:`radishlanding.message.TaskStatus`.
    :returns: A transition, or None where nothing has changed.
    """
    if task.epoch != status.epoch:
        return None
    if task.state not in (TaskState.QUEUED, TaskState.LOST):
        return None
    if status.phase == TaskPhase.DONE:
        return end(task, TaskState.DONE)
    if status.phase != TaskPhase.CHECKPOINTED:
        return None
    if task.state == TaskState.QUEUED and task.checkpoint == status.checkpoint:
        return None
    return end(
        task,
        TaskState.QUEUED,
        reason=status.reason or "evicted",
        checkpoint=status.checkpoint,
    )
