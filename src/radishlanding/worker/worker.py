"""What the project asks of the platform's worker."""

import typing


class Worker(typing.Protocol):
    """Run tasks under leases.

    Every method raises :class:`radishlanding.worker.WorkerUnavailable` when
    the worker gives no answer in time, and
    :class:`radishlanding.worker.WorkerRefused` when it refuses.
    """

    async def capacity(self):
        """Return what the VM holds, as a :class:`Capacity`."""

    async def list(self):
        """Return its tasks, ended ones too, as :class:`WorkerTask`."""

    async def run(self, start, *, lease_s):
        """Run a task; the same task and epoch again changes nothing.

        :param start: A :class:`radishlanding.message.StartTask`.
        :param lease_s: Time for which it runs without renewal, in seconds.
        """

    async def renew(self, keys, *, lease_s):
        """Extend the leases of tasks.

        :param keys: Pairs of task and epoch.
        :param lease_s: Time from now, in seconds.
        """

    async def usage(self):
        """Return pairs of task and used millicores, some seconds old."""

    async def throttle(self, task_id, epoch, *, share):
        """Let a task use only a share of its processors, 0 to freeze it."""

    async def checkpoint(self, task_id, epoch):
        """Make a checkpoint and return its name."""

    async def stop(self, task_id, epoch):
        """Stop a task; return only when it has stopped."""

    async def forget(self, task_id, epoch):
        """Drop an ended task from the list."""
