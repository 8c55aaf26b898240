"""How a VM is chosen for a task."""

import typing


class Placement(typing.Protocol):
    """Choose a VM."""

    def choose(self, job, vms):
        """Return the VM for a task of a job.

        :param job: A :class:`radishlanding.task.Job`.
        :param vms: VM views that have room for the task.
        :returns: One of them, or None if there is none.
        """
