"""Interface of placement policies."""

import typing


class Placement(typing.Protocol):
    """Choose a VM for each task."""

    def choose(self, job, vms):
        """Return the VM for a task of a job.

        :param job: A :class:`radishlanding.task.Job`.
        :param vms: :class:`VmView` objects with enough free capacity.
        :returns: One of them, or None if there is none.
        """
