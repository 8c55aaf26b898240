"""Chooses tasks to evict for urgent work."""


class Preemption:
    """Evict as few tasks as possible."""

    __slots__ = ()

    def choose_victims(self, job, vms):
        """Return the tasks to evict for a task of an urgent job.

        The capacity for the task is subtracted from the chosen view, so that
        it is not given to two tasks.

        :param job: A :class:`radishlanding.task.Job`.
        :param vms: :class:`VmView` objects that may run it; none has enough
            free capacity.
        :returns: Identities of tasks, empty where pending evictions will
            free enough; None where no eviction would.
        """
        for view in vms:
            if (view.free + view.draining).holds(job.needs):
                view.free = view.free - job.needs
                return []
        plans = [(_victims(job, view), view) for view in vms]
        plans = [(victims, view) for victims, view in plans if victims]
        if not plans:
            return None
        victims, view = min(plans, key=lambda plan: (len(plan[0]), plan[1].vm))
        for task_id in victims:
            view.draining = view.draining + view.evictable.pop(task_id)
        view.free = view.free - job.needs
        return victims


def _victims(job, view):
    """Return tasks of a VM whose eviction frees enough, empty for none."""
    available = view.free + view.draining
    victims = []
    by_size = sorted(
        view.evictable.items(), key=lambda item: -item[1].millicores
    )
    for task_id, needs in by_size:
        victims.append(task_id)
        available = available + needs
        if available.holds(job.needs):
            return victims
    return []
