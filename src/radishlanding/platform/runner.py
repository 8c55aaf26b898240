"""The platform's runner, which runs the tasks of one machine.

Source: the platform's page "What radishlanding speaks", section on running
tasks.
"""

import json

import trio

from radishlanding.http import ExchangeFailed
from radishlanding.http import HttpClient
from radishlanding.worker import AttemptListing
from radishlanding.worker import EndedAttempt
from radishlanding.worker import RunningAttempt
from radishlanding.worker import StartResult
from radishlanding.worker import WorkerReplaced
from radishlanding.worker import WorkerUnavailable
from radishlanding.workflow import EndKind

# The runner is on the same machine; a stop takes its time, and some answer
# late when they are slow.
CALL_TIMEOUT_S = 1.0
# A look may list 500 ends and all that runs.
MAX_ANSWER_BYTES = 1024 * 1024
# Each call in flight has a connection, and each new connection is work for
# the runner; one of these waits in a look most of the time.
MAX_CALLS = 4

_RESULTS = {
    "fence": StartResult.FENCED,
    "old": StartResult.OLD,
    "late": StartResult.LATE,
    "room": StartResult.NO_ROOM,
    "ticket": StartResult.NO_TICKET,
}
_KINDS = {
    "done": EndKind.DONE,
    "failed": EndKind.FAILED,
    "stopped": EndKind.INTERRUPTED,
    "lapsed": EndKind.INTERRUPTED,
    "broken": EndKind.INTERRUPTED,
    "alone": EndKind.INTERRUPTED,
}


class Runner:
    """A :class:`radishlanding.worker.LeasedWorker` at an address."""

    __slots__ = ("_client", "_headers", "_limiter")

    def __init__(self, *, address, worker_id):
        """Prepare without connecting.

        :param address: ``ip:port`` of the runner.
        :param worker_id: Identity of the runner that is meant.
        """
        self._client = HttpClient(
            address=address, max_body_bytes=MAX_ANSWER_BYTES
        )
        self._headers = (
            ("content-type", "application/json"),
            ("x-expect-instance", worker_id),
        )
        self._limiter = trio.CapacityLimiter(MAX_CALLS)

    async def _call(self, path, value, *, timeout_s=CALL_TIMEOUT_S):
        try:
            async with self._limiter:
                response = await self._client.send(
                    "POST",
                    f"/-/{path}",
                    body=json.dumps(value).encode(),
                    headers=self._headers,
                    timeout_s=timeout_s,
                )
            answer = response.json()
        except (ExchangeFailed, ValueError) as exc:
            raise WorkerUnavailable(f"{path}: {exc}") from exc
        return response.status, answer

    async def start(self, order, *, fence, deadline_ms):
        """Start an attempt; return a result and the runner's clock."""
        value = {
            "task": order.task_id,
            "run": order.attempt,
            "spec": order.spec,
            "deadlineMs": deadline_ms,
            "fencingToken": fence,
        }
        if order.checkpoint:
            value["checkpoint"] = order.checkpoint
        if order.ticket:
            value["ticket"] = order.ticket
        status, answer = await self._call("run-start", value)
        clock_ms = int(answer.get("clockMs", 0))
        if status == 200:
            return StartResult.STARTED, clock_ms
        if status == 409:
            reason = answer.get("reason", "")
            return _RESULTS.get(reason, StartResult.INVALID), clock_ms
        if status == 421:
            return StartResult.OTHER_BOOT, clock_ms
        if status in (429, 503):
            return StartResult.UNHEALTHY, clock_ms
        if status == 400:
            return StartResult.INVALID, clock_ms
        raise WorkerUnavailable(f"run-start: status {status}")

    async def stop(self, task_id, attempt, *, fence):
        """Stop an attempt, or forbid one that is not there."""
        status, _ = await self._call(
            "run-stop",
            {"task": task_id, "run": attempt, "fencingToken": fence},
        )
        if status >= 500 or status == 429:
            raise WorkerUnavailable(f"run-stop: status {status}")
        return status == 200

    async def list_attempts(
        self, *, fence, settled_number, deadline_ms, wait_s
    ):
        """Move the deadline and return what runs and what has ended."""
        value = {"fencingToken": fence, "ackedUpto": settled_number}
        if deadline_ms is not None:
            value["deadlineMs"] = deadline_ms
        if wait_s:
            value["waitMs"] = int(wait_s * 1000)
        status, answer = await self._call(
            "hold", value, timeout_s=CALL_TIMEOUT_S + wait_s
        )
        if status == 421:
            raise WorkerReplaced("another runner answers")
        if status == 409:
            return None
        if status != 200:
            raise WorkerUnavailable(f"hold: status {status}")
        return AttemptListing(
            clock_ms=int(answer["clockMs"]),
            born_ms=int(answer.get("born", 0)),
            running=[_running(row) for row in answer["running"]],
            ended=[_ended(row) for row in answer["ended"]],
        )

    async def pace(self, task_id, attempt, *, percent, fence):
        """Let an attempt work at a share of its speed."""
        status, _ = await self._call(
            "pace",
            {
                "task": task_id,
                "run": attempt,
                "percent": percent,
                "fencingToken": fence,
            },
        )
        return status == 200

    async def close(self):
        """Close the connections."""
        await self._client.close()


def _running(row):
    """Decode [task, run, saved, percent, figure of the last half second]."""
    return RunningAttempt(
        task_id=row[0],
        attempt=int(row[1]),
        checkpoint=row[2],
        progress=int(row[3]),
        gauge=float(row[4]) if len(row) > 4 else 0.0,
    )


def _ended(row):
    """Decode [number, task, run, how, saved]."""
    return EndedAttempt(
        number=int(row[0]),
        task_id=row[1],
        attempt=int(row[2]),
        kind=_KINDS.get(row[3], EndKind.INTERRUPTED),
        reason=row[3],
        checkpoint=row[4],
    )
