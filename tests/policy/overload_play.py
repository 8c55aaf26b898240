"""Play of a queue whose callers want more than its processors can do."""

import collections
import dataclasses
import random

from radishlanding.vm import Capacity
from radishlanding.workflow import Step
from radishlanding.workflow import TaskId
from radishlanding.workflow import WorkflowPhase
from radishlanding.workflow import WorkflowRecord
from tests.workflow.workflow_steps import make_workflow

ROUND_MS = 250
START_MS = 1_000_000
ROOM_MILLICORES = 1_000_000
TASK_MILLICORES = 7000
MAX_TASKS, MAX_STEPS = 80, 5
STRETCH, LATENCY_MS = 2.0, 3000
# Callers' estimates are off by up to this share.
ESTIMATE_ERROR = 0.9
TASK_DEVIATION = 0.15
# After the last arrival the rest is played for this long.
DRAIN_S = 90
EXPIRY_FACTOR = 3
WORTH = {"in time": 1.0, "late": 1 / 7}


@dataclasses.dataclass(eq=False)
class Job:
    """A workflow with what its order cannot know."""

    record: WorkflowRecord
    run_ms: list[float]
    started: list[int] = dataclasses.field(default_factory=list)
    outcome: str = "never"

    @property
    def core_ms(self):
        steps = self.record.workflow.steps
        return sum(
            step.count * TASK_MILLICORES / 1000 * run_ms
            for step, run_ms in zip(steps, self.run_ms, strict=True)
        )

    def judge(self, now_ms):
        age_ms = now_ms - self.record.workflow.accepted_ms
        objective_ms = STRETCH * sum(self.run_ms) + LATENCY_MS
        if age_ms <= objective_ms:
            return "in time"
        return "late" if age_ms <= EXPIRY_FACTOR * objective_ms else "useless"


def make_job(rng, number, now_ms, *, exact=False):
    steps, run_ms = [], []
    for position in range(rng.choice((1, 1, 1, 2, 2, 3, 4, MAX_STEPS))):
        run_ms.append(rng.lognormvariate(8.0, 0.6))
        error = 0 if exact else rng.uniform(-ESTIMATE_ERROR, ESTIMATE_ERROR)
        steps.append(
            Step(
                count=min(MAX_TASKS, 1 + int(rng.lognormvariate(2.4, 1.0))),
                needs=Capacity(millicores=TASK_MILLICORES, memory_mb=100),
                estimated_ms=int(run_ms[-1] * (1 + error)),
                after=[position - 1] if position else [],
            )
        )
    workflow = make_workflow(
        steps,
        name=f"{number:016x}",
        accepted_ms=int(now_ms),
        stretch=STRETCH,
        latency_ms=LATENCY_MS,
    )
    return Job(WorkflowRecord(workflow=workflow), run_ms, [0] * len(steps))


def arrivals(seed, load, seconds=60, **kwargs):
    """Return jobs whose work is a multiple of what can be done."""
    rng = random.Random(seed)
    jobs, work_core_ms = [], 0.0
    while work_core_ms < load * seconds * ROOM_MILLICORES:
        job = make_job(rng, len(jobs), 0, **kwargs)
        jobs.append(job)
        work_core_ms += job.core_ms
    for job in jobs:
        at_ms = START_MS + rng.uniform(0, 1000 * seconds)
        job.record.workflow.accepted_ms = int(at_ms)
    return sorted(jobs, key=lambda job: job.record.workflow.accepted_ms)


def play(jobs, order, *, seed=1, admit=None):
    """Set the outcome of each job.

    :param order: A :class:`radishlanding.policy.WorkflowOrder`.
    :param admit: Callable that takes a workflow, the open jobs and the time,
        and returns whether the workflow is accepted.
    """
    rng = random.Random(seed)
    coming, known, running = collections.deque(jobs), {}, []
    free = ROOM_MILLICORES
    end_ms = jobs[-1].record.workflow.accepted_ms + 1000 * DRAIN_S
    for now_ms in range(START_MS, end_ms, ROUND_MS):
        while coming and coming[0].record.workflow.accepted_ms <= now_ms:
            job = coming.popleft()
            workflow = job.record.workflow
            if admit and not admit(workflow, known, now_ms):
                job.outcome = "refused"
            else:
                known[workflow.workflow_id] = job
        for task in [task for task in running if task[0] <= now_ms]:
            running.remove(task)
            free += TASK_MILLICORES
            _end(task[1], task[2], known, now_ms)
        records = [job.record for job in known.values()]
        order.update(
            records, rooms={"order-desk": ROOM_MILLICORES}, now_ms=now_ms
        )
        for record in sorted(
            records, key=lambda r: order.key(r, now_ms=now_ms)
        ):
            if free < TASK_MILLICORES:
                break
            job = known[record.workflow.workflow_id]
            for number, step in enumerate(record.workflow.steps):
                if not record.is_step_ready(0, number):
                    continue
                while (
                    job.started[number] < step.count
                    and free >= TASK_MILLICORES
                ):
                    job.started[number] += 1
                    record.phase = WorkflowPhase.RUNNING
                    free -= TASK_MILLICORES
                    factor = rng.lognormvariate(0, TASK_DEVIATION)
                    took_ms = job.run_ms[number] * factor
                    running.append((now_ms + took_ms, job, number))


def _end(job, number, known, now_ms):
    record = job.record
    record.mark_done(TaskId(record.workflow.workflow_id, 0, number, 0))
    if record.is_completed():
        record.phase, record.ended_ms = WorkflowPhase.COMPLETED, now_ms
        job.outcome = job.judge(now_ms)
        del known[record.workflow.workflow_id]


def worth(jobs):
    """Return what callers get as a share of the worth of all jobs."""
    mean_core_ms = sum(job.core_ms for job in jobs) / len(jobs)
    total = earned = 0.0
    for job in jobs:
        value = 0.3 + 0.7 * job.core_ms / mean_core_ms
        total += value
        earned += value * WORTH.get(job.outcome, 0.0)
    return earned / total


def part_by_size(first, last):
    """Return a function that takes jobs and returns those of a size.

    :param first: Share of the jobs that are smaller.
    :param last: Share of the jobs that are smaller than its largest.
    """

    def part(jobs):
        by_size = sorted(jobs, key=lambda job: job.core_ms)
        return by_size[int(first * len(jobs)) : int(last * len(jobs))]

    return part
