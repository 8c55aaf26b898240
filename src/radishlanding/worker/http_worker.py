"""Client of the platform's worker over HTTP/1.1."""

import dataclasses
import json

from radishlanding.http import ExchangeFailed
from radishlanding.http import HttpClient
from radishlanding.vm import Capacity
from radishlanding.worker.refused import WorkerRefused
from radishlanding.worker.unavailable import WorkerUnavailable
from radishlanding.worker.worker_task import WorkerTask

CALL_TIMEOUT_S = 1.5


class HttpWorker:
    """A :class:`radishlanding.worker.Worker` at an address."""

    __slots__ = ("_client",)

    def __init__(self, *, address):
        """Initialise without connecting.

        :param address: ``ip:port`` of the worker.
        """
        self._client = HttpClient(address=address)

    async def _call(self, method, path, value=None):
        body = b"" if value is None else json.dumps(value).encode()
        try:
            response = await self._client.send(
                method, f"/v1/{path}", body=body, timeout_s=CALL_TIMEOUT_S
            )
            answer = response.json()
        except (ExchangeFailed, ValueError) as exc:
            raise WorkerUnavailable(f"{path}: {exc}") from exc
        if response.status >= 500 and response.status != 507:
            raise WorkerUnavailable(f"{path}: status {response.status}")
        if response.status >= 300:
            raise WorkerRefused(
                answer.get("error", f"status {response.status}")
            )
        return answer

    async def _call_task(self, path, task_id, epoch, **values):
        return await self._call(
            "POST", path, {"task_id": task_id, "epoch": epoch, **values}
        )

    async def capacity(self):
        """Return the capacity of the VM as a :class:`Capacity`."""
        return Capacity(**await self._call("GET", "capacity"))

    async def list(self):
        """Return running and ended tasks as :class:`WorkerTask` objects."""
        answer = await self._call("GET", "tasks")
        return [
            WorkerTask(**{**item, "needs": Capacity(**item["needs"])})
            for item in answer["tasks"]
        ]

    async def run(self, start, *, lease_s):
        """Run a task; idempotent for the same task and epoch."""
        await self._call_task(
            "run",
            start.task_id,
            start.epoch,
            needs=dataclasses.asdict(start.needs),
            checkpoint=start.checkpoint,
            organisation=start.organisation,
            template=start.template,
            parameters=start.parameters,
            lease_s=lease_s,
        )

    async def renew(self, keys, *, lease_s):
        """Extend the leases of tasks."""
        tasks = [
            {"task_id": task_id, "epoch": epoch} for task_id, epoch in keys
        ]
        await self._call("POST", "renew", {"tasks": tasks, "lease_s": lease_s})

    async def usage(self):
        """Return pairs of task and used millicores, a few seconds old."""
        answer = await self._call("GET", "usage")
        return [
            (item["task_id"], item["millicores"]) for item in answer["tasks"]
        ]

    async def throttle(self, task_id, epoch, *, share):
        """Limit a task to a share of its processors; 0 freezes it."""
        await self._call_task("throttle", task_id, epoch, share=share)

    async def checkpoint(self, task_id, epoch):
        """Make a checkpoint and return its name."""
        answer = await self._call_task("checkpoint", task_id, epoch)
        return answer["checkpoint"]

    async def stop(self, task_id, epoch):
        """Stop a task and wait until it has stopped."""
        await self._call_task("stop", task_id, epoch)

    async def forget(self, task_id, epoch):
        """Remove an ended task from the list."""
        await self._call_task("forget", task_id, epoch)
