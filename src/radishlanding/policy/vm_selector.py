"""Decides which VM takes a task."""

# Share of its processors that a filling task must find idle to be started.
MIN_IDLE_SHARE = 0.6
# Headroom of serving tasks that the filling tasks of a VM may take: from
# tails at half of their bounds, which is usual, to three quarters.
MAX_HEADROOM_COST = 0.7


class VmSelector:
    """Choose among VMs by what they have, and by what disturbs."""

    __slots__ = ("_interference",)

    def __init__(self, *, interference):
        """Prepare.

        :param interference: An :class:`Interference`.
        """
        self._interference = interference

    def choose(self, key, step, vms, *, is_starved=False):
        """Return the best VM for one more task of a step, or None.

        Filling tasks that disturb share a VM with those that serve only
        when their workflow would come to a standstill.

        :param key: Workflow, occurrence and step of the task.
        :param step: The :class:`radishlanding.workflow.Step`.
        :param vms: The :class:`VmLoad` objects to choose from.
        :param is_starved: Whether nothing of the workflow has run for some
            time.
        """
        fitting = [vm for vm in vms if vm.can_fit(key, step)]
        if step.fills:
            fitting = [
                vm
                for vm in fitting
                if self._may_fill(vm, step, vms, is_starved=is_starved)
            ]
        if not fitting:
            return None
        near = [vm for vm in fitting if vm.has_local_data(step)]
        is_light = self._interference.is_light(step.image)
        return max(
            near or fitting,
            key=lambda vm: _score(vm, step, is_light=is_light),
        )

    def _may_fill(self, vm, step, vms, *, is_starved):
        """Return whether a filling task may go to a VM that has room.

        One task of an image that is not known yet is tried beside serving
        tasks; the others wait for what it shows.
        """
        least = step.needs.millicores * MIN_IDLE_SHARE
        if vm.idle_millicores < least:
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

    Serving tasks go where others serve, with the tasks that neither serve
    nor fill and those that hardly disturb, so that whole VMs are left to the
    filling tasks that do. The emptiest of those VMs comes first, and the
    largest of the others, as steps that allow few tasks a VM need room on
    many: the tightest fit leaves fewer VMs without serving tasks.
    """
    if step.latency_target_ms:
        cost_rank = 0.0 if vm.serving_tasks else -vm.headroom_cost
        return (vm.serving_tasks > 0, cost_rank, vm.free.millicores)
    if step.fills and not is_light:
        return (not vm.serving_tasks, -vm.headroom_cost, vm.idle_millicores)
    return (vm.serving_tasks > 0, vm.idle_millicores)
