"""Selects the VM for a task of a workflow."""

# Share of its processors that a best-effort task must find idle to start.
MIN_IDLE_SHARE = 0.6
# Headroom that the best-effort tasks of a VM may take from serving tasks:
# with it a tail latency rises from half of its target, which is usual, to
# three quarters.
MAX_HEADROOM_COST = 0.7


class VmSelector:
    """Choose among VMs by their capacity and by interference."""

    __slots__ = ("_interference",)

    def __init__(self, *, interference):
        """Prepare the selector.

        :param interference: An :class:`Interference`.
        """
        self._interference = interference

    def choose(self, key, step, vms, *, is_starved=False):
        """Return the best VM for one more task of a step, or None.

        Best-effort tasks run beside serving tasks only within
        ``MAX_HEADROOM_COST`` per VM, unless their workflow is starved.

        :param key: Workflow, occurrence and step of the task.
        :param step: The :class:`radishlanding.workflow.Step`.
        :param vms: The :class:`VmLoad` objects to choose from.
        :param is_starved: Whether no task of the workflow has run for some
            time.
        """
        fitting = [vm for vm in vms if vm.can_fit(key, step)]
        if step.fills:
            fitting = [
                vm
                for vm in fitting
                if self._admits_best_effort(
                    vm, step, vms, is_starved=is_starved
                )
            ]
        if not fitting:
            return None
        local = [vm for vm in fitting if vm.has_local_data(step)]
        is_light = self._interference.is_light(step.image)
        return max(
            local or fitting,
            key=lambda vm: _score(vm, step, is_light=is_light),
        )

    def _admits_best_effort(self, vm, step, vms, *, is_starved):
        """Return whether a best-effort task may go to a VM that fits it.

        One task of an image that is not known yet is tried beside serving
        tasks; the others wait for the measurements.
        """
        min_idle_millicores = step.needs.millicores * MIN_IDLE_SHARE
        if vm.idle_millicores < min_idle_millicores:
            return False
        if not vm.serving_tasks or is_starved:
            return True
        if not self._interference.is_known(step.image):
            return not any(
                other.serving_tasks
                and other.best_effort_tasks.get(step.image, 0)
                for other in vms
            )
        cost = self._interference.headroom_cost(step, vm.capacity)
        return vm.headroom_cost + cost <= MAX_HEADROOM_COST


def _score(vm, step, *, is_light):
    """Return how well a VM suits a task; higher is better.

    Serving tasks go to VMs with serving tasks, and so do light best-effort
    tasks and tasks that are neither, so that whole VMs are left to heavy
    best-effort tasks. Of the VMs with serving tasks, a serving task prefers
    the one with the most free processors; of the others, the one with the
    least interference, then the one with the most free processors. The
    tightest fit would fill VMs one by one, and steps that limit their tasks
    per VM would then have to use VMs without serving tasks.
    """
    if step.latency_target_ms:
        cost_rank = 0.0 if vm.serving_tasks else -vm.headroom_cost
        return (vm.serving_tasks > 0, cost_rank, vm.free.millicores)
    if step.fills and not is_light:
        return (not vm.serving_tasks, -vm.headroom_cost, vm.idle_millicores)
    return (vm.serving_tasks > 0, vm.idle_millicores)
