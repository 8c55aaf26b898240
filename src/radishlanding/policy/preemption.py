"""Makes room for urgent work by evicting other tasks."""


class Preemption:
    """Choose tasks to evict, as few as possible."""

    __slots__ = ()

    def choose_victims(self, job, vms):
        """Return the tasks to evict for a task of an urgent job.

        Room that is found, or will be free, is taken from the view, so that
        it is not counted twice.

        :param job: A :class:`radishlanding.task.Job`.
        :param vms: VM views that may run it; none has room now.
        :returns: Identities of tasks, empty where evictions under way will
            do; None where nothing would make room.
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
    """Return the tasks of a VM whose eviction makes room, or none."""
    room = view.free + view.draining
    victims = []
    by_size = sorted(
        view.evictable.items(), key=lambda item: -item[1].millicores
    )
    for task_id, needs in by_size:
        victims.append(task_id)
        room = room + needs
        if room.holds(job.needs):
            return victims
    return []
