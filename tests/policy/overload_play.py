"""Play of a queue whose callers want more than its processors can do."""

import random

from radishlanding.policy import VmLoad
from radishlanding.vm import Capacity
from radishlanding.workflow import Step
from radishlanding.workflow import TaskId
from radishlanding.workflow import WorkflowPhase
from radishlanding.workflow import WorkflowRecord
from tests.workflow.workflow_steps import make_workflow

ROUND_MS = 250
START_MS = 1_000_000
POOL = "order-desk"
ROOM_MILLICORES = 1_000_000
TASK = Capacity(millicores=7000, memory_mb=100)
MAX_TASKS = 80
STEP_COUNTS = (1, 1, 1, 2, 2, 3, 4, 5)
STRETCH, LATENCY_MS = 2.0, 3000
# Callers' estimates are off by up to this share, tasks of a step by this one.
ESTIMATE_ERROR = 0.9
TASK_DEVIATION = 0.15
# After the last arrival the rest is played for this long.
DRAIN_MS = 90_000
WORTH = {"in time": 1.0, "late": 1 / 7}


class Job:
    """A workflow with what its order cannot know."""

    def __init__(self, rng, number, at_ms=0, *, error=ESTIMATE_ERROR):
        steps, self.run_ms = [], []
        for position in range(rng.choice(STEP_COUNTS)):
            self.run_ms.append(rng.lognormvariate(8.0, 0.6))
            factor = 1 + rng.uniform(-error, error)
            step = Step(
                count=min(MAX_TASKS, 1 + int(rng.lognormvariate(2.4, 1.0))),
                needs=TASK,
                estimated_ms=int(self.run_ms[-1] * factor),
                after=[position - 1] if position else [],
            )
            steps.append(step)
        fields = dict(stretch=STRETCH, latency_ms=LATENCY_MS)
        workflow = make_workflow(
            steps, name=f"{number:016x}", accepted_ms=int(at_ms), **fields
        )
        self.record = WorkflowRecord(workflow=workflow)
        self.started = [0] * len(steps)
        self.outcome = "never"
        self.core_ms = sum(
            step.count * TASK.millicores / 1000 * run_ms
            for step, run_ms in zip(steps, self.run_ms, strict=True)
        )

    def judge(self, now_ms):
        age_ms = now_ms - self.record.workflow.accepted_ms
        share = age_ms / (STRETCH * sum(self.run_ms) + LATENCY_MS)
        return ("in time", "late", "useless")[(share > 1) + (share > 3)]


def arrivals(seed, load, seconds=60, *, begin_s=0, **fields):
    """Return jobs whose work is a multiple of what can be done."""
    rng, jobs, work_core_ms = random.Random(seed), [], 0.0
    while work_core_ms < load * seconds * ROOM_MILLICORES:
        job = Job(rng, 1000 * begin_s + len(jobs), **fields)
        at_ms = START_MS + 1000 * (begin_s + rng.uniform(0, seconds))
        job.record.workflow.accepted_ms = int(at_ms)
        jobs.append(job)
        work_core_ms += job.core_ms
    return sorted(jobs, key=lambda job: job.record.workflow.accepted_ms)


class Play:
    """Place the tasks of jobs by an order, and note what callers get.

    It stands in for the registry, fleet and site of an admission control.
    """

    def __init__(self, order, *, seed=1, control=lambda play: None):
        self._order, self._rng = order, random.Random(seed)
        self._jobs, self._tasks = {}, []
        self._free = ROOM_MILLICORES
        self.now_ms, self.is_ready, self.site = START_MS, True, None
        self.workflows = {}
        self._control = control(self)

    def loads(self, _site):
        total = Capacity(millicores=ROOM_MILLICORES, memory_mb=10**9)
        fields = dict(vm="a", boot="b", pool=POOL, zone="z", labels=[])
        return [
            VmLoad(
                capacity=total,
                free=total,
                idle_millicores=self._free,
                **fields,
            )
        ]

    @property
    def overloads(self):
        return self._order.overloads

    def work_ahead_core_ms(self, record, *, millicores, now_ms):
        return self._order.work_ahead_core_ms(
            record, millicores=millicores, now_ms=now_ms
        )

    def run(self, jobs, *, drain_ms=DRAIN_MS):
        coming = list(reversed(jobs))
        end_ms = jobs[-1].record.workflow.accepted_ms + drain_ms
        for self.now_ms in range(START_MS, end_ms, ROUND_MS):
            if self._control and self.now_ms % 1000 == 0:
                self._control.update()
            while coming and (
                coming[-1].record.workflow.accepted_ms <= self.now_ms
            ):
                self._submit(coming.pop())
            for task in [t for t in self._tasks if t[0] <= self.now_ms]:
                self._tasks.remove(task)
                self._end(*task[1:])
            self._place()
        return jobs

    def _submit(self, job):
        workflow = job.record.workflow
        if self._control and self._control.retry_after_s(workflow):
            job.outcome = "refused"
            return
        self._jobs[workflow.workflow_id] = job
        self.workflows[workflow.workflow_id] = job.record

    def _end(self, job, number):
        record, self._free = job.record, self._free + TASK.millicores
        record.mark_done(TaskId(record.workflow.workflow_id, 0, number, 0))
        if record.is_completed():
            record.phase = WorkflowPhase.COMPLETED
            record.ended_ms, job.outcome = self.now_ms, job.judge(self.now_ms)
            del self.workflows[record.workflow.workflow_id]

    def _place(self):
        records = list(self.workflows.values())
        now_ms, rooms = self.now_ms, {POOL: ROOM_MILLICORES}
        self._order.update(records, rooms=rooms, now_ms=now_ms)
        records.sort(key=lambda rec: self._order.key(rec, now_ms=now_ms))
        for record in records:
            job = self._jobs[record.workflow.workflow_id]
            for number, step in enumerate(record.workflow.steps):
                while (
                    self._free >= TASK.millicores
                    and job.started[number] < step.count
                    and record.is_step_ready(0, number)
                ):
                    job.started[number] += 1
                    record.phase = WorkflowPhase.RUNNING
                    self._free -= TASK.millicores
                    factor = self._rng.lognormvariate(0, TASK_DEVIATION)
                    end_ms = now_ms + job.run_ms[number] * factor
                    self._tasks.append((end_ms, job, number))


def worth(jobs):
    """Return what callers get as a share of the worth of all jobs."""
    mean_core_ms = sum(job.core_ms for job in jobs) / len(jobs)
    values = [0.3 + 0.7 * job.core_ms / mean_core_ms for job in jobs]
    earned = (WORTH.get(job.outcome, 0.0) for job in jobs)
    return sum(map(lambda a, b: a * b, values, earned)) / sum(values)
