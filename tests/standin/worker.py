"""Fake of the worker on one VM."""

import json

import trio

from radishlanding.http import HttpError
from radishlanding.http import HttpResponse
from tests.standin.record import now_s
from tests.standin.record import TaskRun

SWEEP_INTERVAL_S = 0.02
DEFAULT_WORK_S = 2.0


class _Task:
    """State of a task."""

    __slots__ = (
        "advanced_s",
        "cpu_share",
        "epoch",
        "fails",
        "ignores_stop",
        "lease_expiry_s",
        "needs",
        "progress_s",
        "reason",
        "run",
        "state",
        "work_s",
    )

    def __init__(self, *, fields, run, parameters):
        self.epoch = fields["epoch"]
        self.needs = fields["needs"]
        self.run = run
        self.state = "running"
        self.reason = ""
        self.cpu_share = 1.0
        self.advanced_s = now_s()
        self.lease_expiry_s = self.advanced_s + fields["lease_s"]
        self.progress_s = _parse_progress(fields["checkpoint"])
        self.work_s = parameters.get("work_s", DEFAULT_WORK_S)
        self.fails = parameters.get("fails", False)
        self.ignores_stop = parameters.get("ignores_stop", False)

    @property
    def checkpoint(self):
        names = self.run.checkpoints
        return names[-1] if names else self.run.resumed_from

    def advance(self):
        now = now_s()
        self.progress_s += (now - self.advanced_s) * self.cpu_share
        self.advanced_s = now

    def end(self, state, reason=""):
        self.state = state
        self.reason = reason
        self.run.ended_s = now_s()
        self.run.end_state = state


def _parse_progress(checkpoint):
    return float(checkpoint.rpartition("@")[2]) if checkpoint else 0.0


class FakeWorker:
    """Simulate tasks by the clock, with leases that expire."""

    __slots__ = (
        "_record",
        "_tasks",
        "_zone",
        "capacity",
        "fails_all_tasks",
        "fails_checkpoints",
        "is_down",
        "vm",
    )

    def __init__(self, *, vm, zone, capacity, record):
        """Start without tasks.

        :param vm: ID of the VM.
        :param zone: Availability zone of the VM.
        :param capacity: The :class:`radishlanding.vm.Capacity` of the VM.
        :param record: The :class:`Record` of the site.
        """
        self._record = record
        self._tasks = {}
        self._zone = zone
        self.capacity = capacity
        self.fails_checkpoints = False
        self.fails_all_tasks = False
        self.is_down = False
        self.vm = vm
        record.capacities[vm] = capacity

    async def sweep(self):
        """Advance tasks and expire leases until cancelled."""
        while True:
            await trio.sleep(SWEEP_INTERVAL_S)
            for task in self._tasks.values():
                if task.state != "running":
                    continue
                task.advance()
                if now_s() > task.lease_expiry_s:
                    task.end("stopped", "lease expired")
                elif task.fails or self.fails_all_tasks:
                    task.end("failed", "exit status 1")
                elif task.progress_s >= task.work_s:
                    task.end("done")

    def crash(self):
        """Lose all tasks and stop responding."""
        self.is_down = True
        for task in self._tasks.values():
            if task.state == "running":
                task.end("lost")
        self._tasks.clear()

    def restart(self):
        """Respond again, without tasks."""
        self.is_down = False

    async def respond(self, req):
        """Return the response to a call of the agent."""
        if self.is_down:
            await trio.sleep_forever()
        match [req.method, *req.path]:
            case ["GET", "v1", "capacity"]:
                return HttpResponse.of_json(
                    {
                        "millicores": self.capacity.millicores,
                        "memory_mb": self.capacity.memory_mb,
                        "accelerators": self.capacity.accelerators,
                    }
                )
            case ["GET", "v1", "tasks"]:
                return HttpResponse.of_json({"tasks": self._list_tasks()})
            case ["GET", "v1", "usage"]:
                return HttpResponse.of_json({"tasks": []})
            case ["POST", "v1", "run"]:
                return self._run(req.json())
            case ["POST", "v1", "renew"]:
                return self._renew(req.json())
            case ["POST", "v1", verb]:
                return await self._handle_task_call(verb, req.json())
        raise HttpError(status=404, reason=f"no {req.target}")

    def _list_tasks(self):
        return [
            {
                "task_id": task_id,
                "epoch": task.epoch,
                "state": task.state,
                "needs": task.needs,
                "checkpoint": task.checkpoint,
                "reason": task.reason,
            }
            for task_id, task in self._tasks.items()
        ]

    def _run(self, fields):
        task_id = fields["task_id"]
        existing = self._tasks.get(task_id)
        if existing is not None and existing.epoch >= fields["epoch"]:
            if existing.epoch == fields["epoch"]:
                return HttpResponse.of_json({}, status=200)
            raise HttpError(status=409, reason="a newer run exists")
        if existing is not None and existing.state == "running":
            raise HttpError(status=409, reason="an older run is still running")
        run = TaskRun(
            task_id=task_id,
            epoch=fields["epoch"],
            vm=self.vm,
            zone=self._zone,
            resumed_from=fields["checkpoint"],
            started_s=now_s(),
            **fields["needs"],
        )
        self._record.runs.append(run)
        parameters = json.loads(fields["parameters"])
        self._tasks[task_id] = _Task(
            fields=fields, run=run, parameters=parameters
        )
        return HttpResponse.of_json({}, status=201)

    def _renew(self, fields):
        for item in fields["tasks"]:
            task = self._tasks.get(item["task_id"])
            if (
                task is not None
                and task.epoch == item["epoch"]
                and task.state == "running"
            ):
                task.lease_expiry_s = now_s() + fields["lease_s"]
        return HttpResponse.of_json({})

    async def _handle_task_call(self, verb, fields):
        task = self._tasks.get(fields["task_id"])
        if task is None or task.epoch != fields["epoch"]:
            raise HttpError(status=404, reason="the run does not exist")
        if verb == "forget":
            if task.state != "running":
                del self._tasks[fields["task_id"]]
        elif verb == "stop":
            if task.ignores_stop and task.state == "running":
                await trio.sleep_forever()
            if task.state == "running":
                task.advance()
                task.run.was_evicted = task.cpu_share == 0
                task.end("stopped", "stopped")
        elif task.state != "running":
            raise HttpError(status=409, reason=f"the run is {task.state}")
        elif verb == "throttle":
            task.advance()
            task.cpu_share = fields["share"]
        elif verb == "checkpoint":
            return self._checkpoint(task, fields["task_id"])
        else:
            raise HttpError(status=404, reason=f"no {verb}")
        return HttpResponse.of_json({})

    def _checkpoint(self, task, task_id):
        if self.fails_checkpoints:
            raise HttpError(status=409, reason="the checkpoint failed")
        task.advance()
        name = f"{task_id}#{task.epoch}@{task.progress_s:.3f}"
        task.run.checkpoints.append(name)
        return HttpResponse.of_json({"checkpoint": name})

    def running_millicores(self):
        """Return the millicores that the running tasks use."""
        return sum(
            task.needs["millicores"] * task.cpu_share
            for task in self._tasks.values()
            if task.state == "running"
        )
