"""Decides how a task goes on."""

from radishlanding.task import TaskPhase
from radishlanding.task import TaskState
from radishlanding.task import Transition

MAX_FAILED_VMS = 3


def assign(task, *, vm, incarnation):
    """Return the assignment of a queued task to a VM."""
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
    """Return the change of a task to a state in which it is on no VM.

    :param task: The task.
    :param state: State after the change.
    :param reason: Why, or an empty string.
    :param checkpoint: Newest checkpoint, None for the one on record.
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


def keep_checkpoint(task, checkpoint):
    """Return the change that records a running task's checkpoint."""
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
    """Return the change that cancels a task that has not ended."""
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


def never_ran(task, *, reason):
    """Return the change of a task whose assignment never ran."""
    if task.state == TaskState.CANCELLING:
        return end(task, TaskState.CANCELLED, reason="cancelled")
    return end(task, TaskState.QUEUED, reason=reason)


def interrupted(task, job, *, reason, checkpoint=""):
    """Return the change of a task that stopped before it was checkpointed.

    Work after the newest checkpoint may have run. An idempotent task runs
    again from there; another one is lost until an operator decides.

    :param checkpoint: Checkpoint that the worker told of, newer than that
        on record where its agent ended before it could report.
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
    """Return the change of a task that failed on its VM."""
    if task.state == TaskState.CANCELLING:
        state = TaskState.CANCELLED
    elif not job.is_idempotent:
        state = TaskState.FAILED
    else:
        vms = {*task.failed_vms, task.vm}
        is_hopeless = len(vms) >= MAX_FAILED_VMS
        state = TaskState.FAILED if is_hopeless else TaskState.QUEUED
    return end(task, state, reason=reason, failed_vm=task.vm)


def reported(task, job, status):
    """Return the change that a status of the task's assignment asks for.

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
        return keep_checkpoint(task, status.checkpoint)
    return None
