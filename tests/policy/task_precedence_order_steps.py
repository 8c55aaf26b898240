"""Steps about the order of best-effort tasks on all VMs."""

import random
import statistics
import time

from behave import given
from behave import then
from behave import when

from radishlanding.policy import CallerEstimates
from radishlanding.policy import CLASS_PARTS
from radishlanding.policy import EarliestDeadline
from radishlanding.policy import PaceController
from radishlanding.policy import TaskPrecedenceOrder
from radishlanding.vm import Capacity
from radishlanding.workflow import Step
from radishlanding.workflow import task_id
from radishlanding.workflow import TaskId
from radishlanding.workflow import WorkflowPhase
from radishlanding.workflow import WorkflowRecord
from tests.workflow.workflow_steps import make_workflow

NOW_MS = 1_000_000
NEEDS = Capacity(millicores=7000, memory_mb=100)
# The site's tasks run for about 4 s, and differ by 15 % within a step.
TASK_S = 4.0
TASK_SPREAD = 0.15
MAX_TASKS_PER_VM = 3
# Headroom that a VM spares, and what a task takes of it at full speed.
BUDGET = 1.0
COST = 0.9
ROUND_S = 0.5
ROUNDS_PER_RANKING = 2
RUNS = 6
MAX_PLAY_S = 1000


class _Job:
    """A workflow of the play, with the true run times of its steps."""

    __slots__ = ("done_s", "record", "run_s", "start_s", "waiting")

    def __init__(self, rng, number, start_s, wrong):
        means_s = [
            TASK_S * rng.lognormvariate(0, 0.4)
            for _ in range(rng.choice([1, 1, 2, 2, 3]))
        ]
        self.run_s = [
            [
                max(0.3, rng.gauss(mean_s, TASK_SPREAD * mean_s))
                for _ in range(
                    max(1, min(20, int(rng.lognormvariate(1.5, 1))))
                )
            ]
            for mean_s in means_s
        ]
        steps = [
            Step(
                count=len(times_s),
                needs=NEEDS,
                fills=True,
                estimated_ms=int(
                    1000 * mean_s * rng.uniform(1 - wrong, 1 + wrong)
                ),
                after=[step - 1] if step else [],
            )
            for step, (mean_s, times_s) in enumerate(
                zip(means_s, self.run_s, strict=True)
            )
        ]
        # No objective, so that the classes of all are the same.
        workflow = make_workflow(steps, name=f"{number:016x}", stretch=1e6)
        self.record = WorkflowRecord(workflow=workflow)
        self.start_s, self.done_s, self.waiting = start_s, None, []

    def open_step(self, number):
        """Let the tasks of a step wait for a VM."""
        self.waiting = [
            _Task(self, number, index)
            for index in range(len(self.run_s[number]))
        ]


class _Task:
    """A task of the play."""

    __slots__ = ("done_s", "job", "run_s", "step", "task_id", "vm")

    def __init__(self, job, step, index):
        name = job.record.workflow.workflow_id
        self.task_id = TaskId.parse(task_id(name, 0, step, index))
        self.job, self.step, self.vm, self.done_s = job, step, None, 0.0
        self.run_s = job.run_s[step][index]

    @property
    def progress(self):
        """Return the progress in whole percents."""
        return int(100 * self.done_s / self.run_s)


class _Play:
    """Heavy tasks on VMs whose budgets a pace controller divides."""

    __slots__ = ("_order", "_ranks", "jobs", "tasks", "vms")

    def __init__(self, jobs, vms, *, is_ranked):
        self._order = TaskPrecedenceOrder(run_times=CallerEstimates())
        self._ranks = {} if is_ranked else None
        self.jobs, self.tasks, self.vms = jobs, [], vms

    def run(self):
        """Return the time that each workflow takes, in seconds."""
        for job in self.jobs:
            job.open_step(0)
        for number in range(int(MAX_PLAY_S / ROUND_S)):
            now_s = number * ROUND_S
            self._place(now_s)
            if self._ranks is not None and not number % ROUNDS_PER_RANKING:
                self._rank()
            for vm in range(self.vms):
                self._run_vm(vm)
            self._end_tasks(now_s + ROUND_S)
        return [job.done_s - job.start_s for job in self.jobs]

    def _place(self, now_s):
        free = [MAX_TASKS_PER_VM] * self.vms
        for task in self.tasks:
            free[task.vm] -= 1
        for job in self.jobs:
            while job.start_s <= now_s and job.waiting and max(free):
                task = job.waiting.pop()
                task.vm = free.index(max(free))
                free[task.vm] -= 1
                self.tasks.append(task)

    def _rank(self):
        self._ranks = self._order.rank(
            [
                (task.job.record, task.task_id, task.progress)
                for task in self.tasks
            ],
            class_of=lambda record: (),
        )

    def _rank_of(self, task):
        name = f"{task.job.record.workflow.workflow_id}.0.{task.step}"
        return (self._ranks or {}).get(name, 10**6)

    def _run_vm(self, vm):
        tasks = sorted(
            (task for task in self.tasks if task.vm == vm),
            key=lambda task: (self._rank_of(task), -task.progress),
        )
        controller = PaceController()
        controller.update(4.0, heavy_count=0, heavy_cost=0.0)
        controller.budget = BUDGET
        percents = controller.heavy_percents([COST] * len(tasks))
        for task, percent in zip(tasks, percents, strict=True):
            task.done_s += ROUND_S * percent / 100

    def _end_tasks(self, now_s):
        ended = [task for task in self.tasks if task.done_s >= task.run_s]
        self.tasks = [task for task in self.tasks if task not in ended]
        for task in ended:
            job, record = task.job, task.job.record
            record.mark_done(task.task_id)
            if not record.is_step_done(0, task.step):
                continue
            if task.step + 1 < len(job.run_s):
                job.open_step(task.step + 1)
            else:
                job.done_s = now_s


@given("{vms:d} VMs that each spare headroom for one heavy task")
def _vms(context, vms):
    context.vms = vms


@given(
    "{count:d} workflows, one each {gap_s:g} s on average, that callers "
    "estimate exactly"
)
def _exact_workflows(context, count, gap_s):
    context.load = (count, gap_s, 0.0)


@given(
    "{count:d} workflows, one each {gap_s:g} s on average, that callers "
    "estimate wrong by up to {wrong:g}"
)
def _workflows(context, count, gap_s, wrong):
    context.load = (count, gap_s, wrong)


def _jobs(count, gap_s, wrong, *, seed):
    rng = random.Random(seed)
    jobs, start_s = [], 0.0
    for number in range(count):
        start_s += rng.expovariate(1 / gap_s)
        jobs.append(_Job(rng, number, start_s, wrong))
    return jobs


@when("their tasks run by the order of the site, and by progress on each VM")
def _plays(context):
    context.times_s = {True: [], False: []}
    context.all_done_s = {True: [], False: []}
    for seed in range(RUNS):
        for is_ranked, times_s in context.times_s.items():
            jobs = _jobs(*context.load, seed=seed)
            play = _Play(jobs, context.vms, is_ranked=is_ranked)
            times_s.append(play.run())
            context.all_done_s[is_ranked].append(
                max(job.done_s for job in jobs)
            )


@then("the mean workflow ends within {share:g} of its time by progress")
def _mean_time(context, share):
    ranked_s, before_s = (
        statistics.mean(map(statistics.mean, context.times_s[way]))
        for way in (True, False)
    )
    assert ranked_s <= share * before_s, (ranked_s, before_s)


@then("all are done within {share:g} of the time by progress")
def _all_done(context, share):
    ranked_s, before_s = (
        statistics.mean(context.all_done_s[way]) for way in (True, False)
    )
    assert ranked_s <= share * before_s, (ranked_s, before_s)


@then("the longest wait grows by no more than {factor:g}")
def _longest_wait(context, factor):
    ranked_s, before_s = (
        statistics.mean(map(max, context.times_s[way]))
        for way in (True, False)
    )
    assert ranked_s <= factor * before_s, (ranked_s, before_s)


@given("workflows with running tasks")
def _running_workflows(context):
    context.records = {}
    for row in context.table:
        step = Step(
            count=int(row["tasks"]), needs=NEEDS, fills=True, estimated_ms=4000
        )
        workflow = make_workflow(
            [step],
            name=row["name"],
            priority=int(row["priority"]),
            stretch=3.0,
            accepted_ms=NOW_MS - 1000 * int(row["age_s"]),
        )
        context.records[row["name"]] = WorkflowRecord(
            workflow=workflow, phase=WorkflowPhase.RUNNING
        )


@when("they are ranked, and again after {done:d} tasks of b are done")
def _ranked_twice(context, done):
    order = TaskPrecedenceOrder(run_times=CallerEstimates())
    tasks = [
        (record, TaskId(name, 0, 0, 0), 0)
        for name, record in context.records.items()
    ]
    _rank(order, tasks)
    context.records["b"].done["0.0"] = done
    context.ranks = _rank(order, tasks)


def _rank(order, tasks):
    deadlines = EarliestDeadline()
    return order.rank(
        tasks,
        class_of=lambda record: deadlines.key(record, now_ms=NOW_MS)[
            :CLASS_PARTS
        ],
    )


@then("the order is {names}")
def _order(context, names):
    found = [name.partition(".")[0] for name in context.ranks]
    assert found == names.split(" and "), context.ranks


@given(
    "a workflow of which steps 0, 1 and 2 run, and step 3 waits for 0 and 1"
)
def _steps(context):
    steps = [
        Step(count=count, needs=NEEDS, fills=True, estimated_ms=4000)
        for count in (5, 3, 1)
    ]
    steps.append(Step(count=1, needs=NEEDS, fills=True, after=[0, 1]))
    context.record = WorkflowRecord(workflow=make_workflow(steps))


@when("its tasks are ranked")
def _steps_ranked(context):
    name = context.record.workflow.workflow_id
    tasks = [
        (context.record, TaskId(name, 0, number, 0), 0) for number in range(3)
    ]
    order = TaskPrecedenceOrder(run_times=CallerEstimates())
    context.ranks = _rank(order, tasks)


@then("the steps are ranked {numbers}")
def _step_ranks(context, numbers):
    found = [name.rpartition(".")[2] for name in context.ranks]
    assert found == numbers.split(", "), context.ranks


@when("rounds of 160 and of 640 VMs with 4 heavy tasks each are ranked")
def _rounds(context):
    context.round_s = {vms: _round_s(4 * vms) for vms in (160, 640)}


def _round_s(tasks):
    """Return the processor time of a round, in seconds."""
    rng = random.Random(1)
    jobs = [_Job(rng, number, 0.0, 0.9) for number in range(tasks // 20)]
    running = [
        (job.record, TaskId(job.record.workflow.workflow_id, 0, 0, index), 50)
        for job in jobs
        for index in range(20)
    ]
    order = TaskPrecedenceOrder(run_times=CallerEstimates())
    times_s = []
    for _ in range(20):
        began_s = time.process_time()
        _rank(order, running)
        times_s.append(time.process_time() - began_s)
    return min(times_s)


@then("a round of 640 VMs takes less than {factor:g} times that of 160")
def _ratio(context, factor):
    ratio = context.round_s[640] / context.round_s[160]
    assert ratio < factor, context.round_s


@when("they are ranked, and then {rounds:d} times with no task of a running")
def _ranked_without_a(context, rounds):
    order = TaskPrecedenceOrder(run_times=CallerEstimates())
    tasks = [
        (record, TaskId(name, 0, 0, 0), 0)
        for name, record in context.records.items()
    ]
    _rank(order, tasks)
    for _ in range(rounds):
        context.ranks = _rank(order, tasks[1:])
