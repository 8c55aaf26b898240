"""Steps that simulate the placement of serving jobs on sites of VMs."""

import random

from behave import then
from behave import when

from radishlanding.policy import EarliestDeadline
from radishlanding.policy import Interference
from radishlanding.policy import VmLoad
from radishlanding.policy import WorkflowPlanner
from radishlanding.vm import Capacity
from radishlanding.workflow import Step
from radishlanding.workflow import WorkflowRecord
from tests.workflow.workflow_steps import make_workflow

SITES = 200
NOW_MS = 1_000_000
CORES = (64, 64, 96, 64, 64, 96, 64, 64, 96, 64, 64)
MEMORY_MB = 250_000
# Mean, standard deviation and maximum for standing tasks, from the platform's
# pages.
TASKS_PER_JOB = (6, 2.4, 12)
TASK_CORES = (13, 3.2, 20)
TASKS_PER_VM_LIMITS = (1, 2, 2, 3)
MIN_GAIN = 1.1


def _jobs(rng, count):
    """Return the steps of random serving jobs."""
    return [
        Step(
            count=_draw(rng, *TASKS_PER_JOB),
            needs=Capacity(
                millicores=1000 * _draw(rng, *TASK_CORES), memory_mb=26_000
            ),
            standing=True,
            latency_target_ms=150,
            image="desk",
            max_per_vm=rng.choice(TASKS_PER_VM_LIMITS)
            if rng.random() < 0.5
            else 0,
        )
        for _ in range(count)
    ]


def _draw(rng, mean, deviation, maximum):
    return max(1, min(maximum, round(rng.gauss(mean, deviation))))


def _loads(rng):
    loads = []
    for number, cores in enumerate(CORES):
        capacity = Capacity(millicores=1000 * cores, memory_mb=MEMORY_MB)
        loads.append(
            VmLoad(
                vm=f"vm{number}",
                boot="b",
                pool="order-desk",
                zone="z0",
                labels=["k", f"r{number // 3}"],
                capacity=capacity,
                free=capacity,
                idle_millicores=capacity.millicores,
            )
        )
    rng.shuffle(loads)
    return loads


def _plan(steps, loads, *, seed):
    """Place jobs by the planner; return how many tasks are not placed."""
    planner = WorkflowPlanner(
        order=EarliestDeadline(),
        interference=Interference(),
        rng=random.Random(seed),
    )
    placed = 0
    for number, step in enumerate(steps):
        record = WorkflowRecord(
            workflow=make_workflow([step], name=f"{number:016x}")
        )
        placed += len(planner.plan([record], loads, now_ms=NOW_MS))
    return sum(step.count for step in steps) - placed


def _fit_tightly(steps, loads, *, seed):
    """Place jobs by the tightest fit; return how many tasks are not placed."""
    waiting = 0
    for number, step in enumerate(steps):
        key = (f"{number:016x}", 0, 0)
        for _ in range(step.count):
            fitting = [vm for vm in loads if vm.can_fit(key, step)]
            if fitting:
                best = max(
                    fitting,
                    key=lambda vm: (vm.serving_tasks > 0, -vm.free.millicores),
                )
                best.add(key, step)
            else:
                waiting += 1
    return waiting


def _simulate(place, count):
    """Return millicores of VMs without serving tasks, and unplaced tasks."""
    left = waiting = 0
    for seed in range(SITES):
        rng = random.Random(seed)
        steps, loads = _jobs(rng, count), _loads(rng)
        waiting += place(steps, loads, seed=seed)
        left += sum(
            vm.capacity.millicores for vm in loads if not vm.serving_tasks
        )
    return left, waiting


@when("{count:d} serving jobs are placed on each of 200 sites")
def _placed(context, count):
    context.planned = _simulate(_plan, count)
    context.tight = _simulate(_fit_tightly, count)


@then(
    "at least a tenth more processors are left on VMs without serving tasks "
    "than by the tightest fit"
)
def _more_left(context):
    planned, tight = context.planned[0], context.tight[0]
    assert planned >= MIN_GAIN * tight, (planned, tight)


@then("no more tasks wait for a VM than by the tightest fit")
def _no_more_wait(context):
    planned, tight = context.planned[1], context.tight[1]
    assert planned <= tight, (planned, tight)
