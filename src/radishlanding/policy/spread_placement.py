"""Spread placement: on the least loaded VM."""

# Load that each task of the same job counts for, as a share of the VM.
SAME_JOB_WEIGHT = 0.05


class SpreadPlacement:
    """Spread load, and the tasks of each job, over VMs."""

    __slots__ = ()

    def choose(self, job, vms):
        """Return the VM that would be least loaded with the task."""
        return min(vms, key=lambda view: _load(job, view), default=None)


def _load(job, view):
    left = view.free - job.needs
    shares = (
        (view.capacity.millicores, left.millicores),
        (view.capacity.memory_mb, left.memory_mb),
        (view.capacity.accelerators, left.accelerators),
    )
    used = max(1 - rest / total for total, rest in shares if total)
    same_job = view.tasks_by_job.get(job.job_id, 0)
    return used + SAME_JOB_WEIGHT * same_job, view.vm
