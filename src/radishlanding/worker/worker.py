"""Interface of the platform's worker."""

import typing


class Worker(typing.Protocol):
    """Run tasks under leases.

    Every method raises :class:`radishlanding.worker.WorkerUnavailable` when
    the worker gives no answer in time, and
    :class:`radishlanding.worker.WorkerRefused` when it refuses.
    """

    async def capacity(self):
        """Return the capacity of the VM as a :class:`Capacity`."""

    async def list(self):
        """Return running and ended tasks as :class:`WorkerTask` objects."""

    async def run(self, start, *, lease_s):
        """Run a task; idempotent for the same task and epoch.

        :param start: A :class:`radishlanding.message.StartTask`.
        :param lease_s: How long it runs without a renewal, in seconds.
        """

    async def renew(self, keys, *, lease_s):
        """Extend the leases of tasks.

        :param keys: Pairs of task and epoch.
        :param lease_s: New time to live from now, in seconds.
        """

    async def usage(self):
        """Return pairs of task and used millicores, a few seconds old."""

    async def throttle(self, task_id, epoch, *, share):
        """Limit a task to a share of its processors; 0 freezes it."""

    async def checkpoint(self, task_id, epoch):
        """Make a checkpoint and return its name."""

    async def stop(self, task_id, epoch):
        """Stop a task and wait until it has stopped."""

    async def forget(self, task_id, epoch):
        """Remove an ended task from the list."""
