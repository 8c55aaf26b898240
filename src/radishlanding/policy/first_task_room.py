"""Whether a first task of a workflow would find room now."""

from radishlanding.policy.vm_selector import MIN_IDLE_SHARE

# Different needs of first steps that are compared with all VMs, the least
# first: the answer to a submission waits for it.
MAX_NEEDS = 16


def has_first_task_room(workflow, loads):
    """Return whether a VM has idle processors for a first task.

    :param workflow: A :class:`radishlanding.workflow.Workflow` that is not
        known yet.
    :param loads: The :class:`VmLoad` objects of all pools.
    """
    # Steps of the same needs fit on the same VMs, as none of them runs yet.
    first = {_needs(step): step for step in workflow.steps if not step.after}
    least = sorted(first)[:MAX_NEEDS]
    return any(
        load.pool == workflow.pool
        and load.idle_millicores >= _idle_millicores(first[needs])
        and load.can_fit((workflow.workflow_id, 0, 0), first[needs])
        for needs in least
        for load in loads
    )


def _needs(step):
    """Return what decides whether a VM can take a task of a new step."""
    needs = step.needs
    return (
        needs.millicores,
        needs.memory_mb,
        needs.accelerators,
        step.label,
        step.fills,
    )


def _idle_millicores(step):
    """Return the idle processors with which a task may start."""
    share = MIN_IDLE_SHARE if step.fills else 1.0
    return step.needs.millicores * share
