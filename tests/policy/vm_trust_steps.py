"""Steps for the trust in VMs, which play steps on uneven VMs."""

import dataclasses
import math
import random
import time

from behave import given
from behave import then
from behave import when

from radishlanding.policy import DOUBTFUL_TRUST
from radishlanding.policy import EarliestDeadline
from radishlanding.policy import Interference
from radishlanding.policy import VmLoad
from radishlanding.policy import VmTrust
from radishlanding.policy import WorkflowPlanner
from radishlanding.policy.vm_trust import FULL_TRUST
from radishlanding.vm import Capacity
from radishlanding.workflow import Assignment
from radishlanding.workflow import EndKind
from radishlanding.workflow import LogEntry
from radishlanding.workflow import Step
from radishlanding.workflow import TaskEnd
from radishlanding.workflow import TaskId
from radishlanding.workflow import WorkflowRegistry
from tests.workflow.workflow_steps import make_workflow

SEED = 5
SLOTS = 9
NEEDS = Capacity(millicores=7000, memory_mb=1000)
CAPACITY = Capacity(millicores=7000 * SLOTS, memory_mb=1000 * SLOTS)
TICK_S = 0.25
SIBLING_SPREAD = 0.15
# A task reports its speed after each tenth of its work.
SAMPLE_SHARE = 0.1
# Enough for the last steps, and for those that restart failed tasks.
SETTLE_S = 60.0
RUNS = 5


def _load(vm, tasks=()):
    """Return the load of a VM.

    :param tasks: Pairs of key and step of the tasks on it.
    """
    load = VmLoad(
        vm=vm,
        boot="b",
        pool="order-desk",
        zone="z0",
        labels=[],
        capacity=CAPACITY,
        free=CAPACITY,
        idle_millicores=CAPACITY.millicores,
    )
    for key, step in tasks:
        load.add(key, step)
        load.finite_tasks += 1
    return load.copy()


@dataclasses.dataclass(slots=True, kw_only=True)
class Run:
    """An attempt that runs.

    :param work_s: Run time at full speed.
    """

    assignment: Assignment
    work_s: float
    done_s: float = 0.0
    sampled_s: float = 0.0


class Play:
    """Steps that come to VMs, some of which are faulty."""

    __slots__ = (
        "_fault",
        "_faulty",
        "_planner",
        "_registry",
        "_rng",
        "_run_s",
        "_running",
        "_step",
        "_trust",
        "_vms",
        "came_s",
        "ended_s",
        "faulty_starts",
        "first_waits",
        "last_start_s",
        "now_s",
    )

    def __init__(self, *, vms, faulty, fault, is_trusting):
        """Start without tasks; ``is_trusting`` is False for the baseline."""
        self._vms = [f"vm{number}" for number in range(vms)]
        self._faulty = set(self._vms[:faulty])
        self._fault = fault
        self._rng = random.Random(SEED)
        self._registry = WorkflowRegistry()
        self._planner = WorkflowPlanner(
            order=EarliestDeadline(),
            interference=Interference(),
            rng=random.Random(SEED),
        )
        self._trust = VmTrust() if is_trusting else None
        self._running = []
        self.now_s, self.faulty_starts = 0.0, 0
        self.came_s, self.ended_s = {}, {}
        self.first_waits, self.last_start_s = {}, {}

    def _speed(self, vm):
        if vm not in self._faulty or self._fault.startswith("fail"):
            return 1.0
        is_impaired = "16" not in self._fault or self.now_s % 16 < 8
        return 0.25 if is_impaired else 1.0

    def play(self, *, count, run_s, every_s, last_s):
        """Let steps come, and run them all."""
        self._step = Step(count=count, needs=NEEDS, estimated_ms=1000)
        self._run_s = run_s
        while self.now_s < last_s + SETTLE_S:
            if self.now_s < last_s and not self.now_s % every_s:
                self._accept()
            self._apply(ends=self._advance())
            self._place()
            self.now_s += TICK_S
        assert len(self.ended_s) == len(self.came_s)

    def _apply(self, **changes):
        self._registry.apply(LogEntry(commit_id="c", made_ms=1, **changes))

    def _accept(self):
        name = f"{len(self.came_s):016x}"
        self.came_s[name] = self.now_s
        self._apply(accepted=[make_workflow([self._step], name=name)])

    def _place(self):
        tasks = {vm: [] for vm in self._vms}
        for run in self._running:
            key = TaskId.parse(run.assignment.task_id)[:3]
            tasks[run.assignment.vm].append((key, self._step))
        loads = [_load(vm, tasks[vm]) for vm in self._vms]
        if self._trust is not None:
            self._trust.rate(loads, now_s=self.now_s)
        records = [
            record
            for record in self._registry.workflows.values()
            if not record.phase.has_ended
        ]
        planned = self._planner.plan(
            records, loads, now_ms=int(self.now_s * 1000)
        )
        self._apply(assignments=planned)
        for item in planned:
            name = TaskId.parse(item.task_id).workflow_id
            waited_s = self.now_s - self.came_s[name]
            self.first_waits.setdefault(name, waited_s)
            if item.attempt == 1:
                self.last_start_s[name] = waited_s
            self.faulty_starts += item.vm in self._faulty
            work_s = self._run_s * self._rng.lognormvariate(0, SIBLING_SPREAD)
            self._running.append(Run(assignment=item, work_s=work_s))

    def _advance(self):
        """Run all tasks for a tick, and return those that end."""
        ends = []
        for run in list(self._running):
            vm = run.assignment.vm
            run.done_s += TICK_S * self._speed(vm)
            self._sample(run, vm)
            if run.done_s >= run.work_s:
                self._running.remove(run)
                ends.append(self._end(run, vm))
        self._planner.mark_changed({end.task_id[:16] for end in ends})
        return ends

    def _sample(self, run, vm):
        gained = (run.done_s - run.sampled_s) / run.work_s
        if gained < SAMPLE_SHARE:
            return
        run.sampled_s = run.done_s
        if self._trust is not None:
            self._trust.observe_run(
                vm,
                run.assignment.task_id[:16],
                run_ms=1000 * run.work_s / self._speed(vm),
                weight=gained,
                now_s=self.now_s,
            )

    def _end(self, run, vm):
        item = run.assignment
        fails = vm in self._faulty and self._fault.startswith("fail")
        kind = EndKind.DONE
        if fails and self._rng.random() < 0.3:
            kind = EndKind.FAILED
        if self._trust is not None:
            record = self._trust.record_success
            if kind == EndKind.FAILED:
                record = self._trust.record_failure
            record(vm, now_s=self.now_s)
        name = TaskId.parse(item.task_id).workflow_id
        self.ended_s[name] = self.now_s
        return TaskEnd(task_id=item.task_id, attempt=item.attempt, kind=kind)

    @property
    def mean_s(self):
        """Return the mean time of a step, in seconds."""
        took = [
            self.ended_s[name] - at_s for name, at_s in self.came_s.items()
        ]
        return sum(took) / len(took)


@given(
    "{count:d} VMs with room for {slots:d} tasks each, {faulty:d} of which "
    "{fault}"
)
def _uneven(context, count, slots, faulty, fault):
    assert slots == SLOTS
    context.plays = [
        Play(vms=count, faulty=faulty, fault=fault, is_trusting=is_trusting)
        for is_trusting in (True, False)
    ]


@when(
    "a step of {count:d} tasks of {run_s:g} s comes each half second for "
    "{last_s:g} s"
)
def _steps_come(context, count, run_s, last_s):
    for play in context.plays:
        play.play(count=count, run_s=run_s, every_s=0.5, last_s=last_s)


@then("the mean step takes at most {share:g} of its time without trust")
def _faster(context, share):
    trusting, baseline = context.plays
    found = trusting.mean_s / baseline.mean_s
    assert found <= share, (trusting.mean_s, baseline.mean_s)


@then("no step waits 3 s for its first or its last start")
def _no_waits(context):
    play = context.plays[0]
    assert max(play.first_waits.values()) < 3
    assert max(play.last_start_s.values()) < 3


@then("the faulty VMs get some tasks, and fewer than without trust")
def _probed(context):
    trusting, baseline = context.plays
    assert 0 < trusting.faulty_starts < baseline.faulty_starts, (
        trusting.faulty_starts,
        baseline.faulty_starts,
    )


class History:
    """Trust in a VM among three others that run tasks at speed."""

    __slots__ = ("_step", "_trust", "now_s")

    def __init__(self):
        """Start without samples."""
        self._trust = VmTrust()
        self._step = 0
        self.now_s = 100.0

    def run(self, speed):
        """Run a step with one task on each VM."""
        self._step += 1
        for vm, factor in (("a", 1), ("b", 1), ("c", 1), ("x", speed)):
            self._trust.observe_run(
                vm,
                self._step,
                run_ms=3000 / factor,
                weight=1,
                now_s=self.now_s,
            )

    def fail(self, count):
        """Record failures on the VM."""
        for _ in range(count):
            self._trust.record_failure("x", now_s=self.now_s)

    def finish(self, count):
        """Record tasks that are done on the VM."""
        for _ in range(count):
            self._trust.record_success("x", now_s=self.now_s)

    def lose(self, count, *, every_s):
        """Record losses of the VM."""
        for _ in range(count):
            self._trust.record_loss("x", now_s=self.now_s)
            self.now_s += every_s

    def slow(self):
        """Run two tasks at a quarter of the speed."""
        self.run(0.25)
        self.run(0.25)

    @property
    def rating(self):
        """Return how the VM is rated."""
        trust = self._trust.trust("x", now_s=self.now_s)
        if trust < DOUBTFUL_TRUST:
            return "doubtful"
        return "probed" if trust < FULL_TRUST else "trusted"


def _slow_then(history, *, wait_s=0.0, tasks=0):
    history.slow()
    assert history.rating == "doubtful"
    history.now_s += wait_s
    for _ in range(tasks):
        history.run(1)


def _slightly_slow(history):
    for _ in range(4):
        history.run(0.67)


def _fail_and_finish(history):
    history.fail(2)
    history.finish(10)


def _lost_long_ago(history):
    history.lose(2, every_s=15)
    assert history.rating == "doubtful"
    history.now_s += 180


HISTORIES = {
    "has no samples": lambda history: None,
    "runs a task at half the speed": lambda history: history.run(0.5),
    "runs 4 tasks at 0.67 of the speed": _slightly_slow,
    "runs 2 tasks at a quarter of the speed": History.slow,
    "did so 4 s ago": lambda history: _slow_then(history, wait_s=4),
    "did so 16 s ago": lambda history: _slow_then(history, wait_s=16),
    "did so 31 s ago": lambda history: _slow_then(history, wait_s=31),
    "did so, and then runs 2 tasks at speed": lambda history: _slow_then(
        history, tasks=2
    ),
    "did so, and then runs 3 tasks at speed": lambda history: _slow_then(
        history, tasks=3
    ),
    "fails a task": lambda history: history.fail(1),
    "fails 2 tasks": lambda history: history.fail(2),
    "fails 2 tasks and finishes 10": _fail_and_finish,
    "was lost": lambda history: history.lose(1, every_s=0),
    "was lost twice in 30 s": lambda history: history.lose(2, every_s=15),
    "was lost twice, 3 minutes ago": _lost_long_ago,
}


@given("a VM that {history}")
def _history(context, history):
    context.history = History()
    HISTORIES[history](context.history)


@then("it is {rating:w}")
def _rated(context, rating):
    assert context.history.rating == rating


@given("a pool of {size:d} VMs, {slow:d} of which are doubtful")
def _pool(context, size, slow):
    trust = VmTrust()
    for number in range(slow):
        for _ in range(3):
            trust.record_failure(f"vm{number}", now_s=0)
    context.loads = [_load(f"vm{number}") for number in range(size)]
    trust.rate(context.loads, now_s=0)


@then("{left:d} of them have less than full trust")
def _distrusted(context, left):
    found = sum(load.trust < FULL_TRUST for load in context.loads)
    assert found == left, found


@given(
    "{count:d} VMs, of which {full:d} are full and {doubtful:d} are doubtful"
)
def _full_ones(context, count, full, doubtful):
    assert count == full + doubtful
    other = ("f" * 16, 0, 0), Step(count=1, needs=NEEDS)
    context.loads = [
        _load(f"vm{number}", [other] * SLOTS) for number in range(full)
    ]
    for number in range(doubtful):
        load = _load(f"bad{number}")
        load.trust = DOUBTFUL_TRUST / 2
        context.loads.append(load)
    context.planner = _planner()


def _planner():
    return WorkflowPlanner(
        order=EarliestDeadline(),
        interference=Interference(),
        rng=random.Random(SEED),
    )


@given("{count:d} VMs with room for {slots:d} tasks, of which one is probed")
def _one_probed(context, count, slots):
    assert slots == SLOTS
    context.loads = [_load(f"vm{number}") for number in range(count)]
    context.loads[0].trust = (DOUBTFUL_TRUST + FULL_TRUST) / 2
    context.planner = _planner()


def _accept_step(context, count, kind):
    step = Step(
        count=count,
        needs=NEEDS,
        gang=kind == "gang",
        standing=kind == "standing",
    )
    context.registry = WorkflowRegistry()
    workflow = make_workflow([step], name="0" * 16, accepted_ms=1000)
    context.registry.apply(
        LogEntry(commit_id="c", made_ms=1, accepted=[workflow])
    )


def _plan(context, now_ms):
    planned = context.planner.plan(
        list(context.registry.workflows.values()), context.loads, now_ms=now_ms
    )
    context.registry.apply(
        LogEntry(commit_id="c", made_ms=1, assignments=planned)
    )
    return planned


@when("a step of {count:d} {kind:w} tasks is placed after 0, 250 and 500 ms")
def _placed_in_turn(context, count, kind):
    _accept_step(context, count, kind)
    context.placed = [
        len(_plan(context, 1000 + wait_ms)) for wait_ms in (0, 250, 500)
    ]


@then("{numbers} of its tasks are placed then")
def _placed_then(context, numbers):
    wanted = [int(part) for part in numbers.replace(" and", ",").split(",")]
    assert context.placed == wanted, context.placed


@when("a step of {count:d} finite tasks is placed")
def _placed(context, count):
    _accept_step(context, count, "finite")
    assert len(_plan(context, 1000)) == count


@then("the probed VM gets {count:d} of them")
def _probe_tasks(context, count):
    (probed,) = (load for load in context.loads if load.trust < FULL_TRUST)
    assert sum(probed.steps.values()) == count, probed.steps


@given("samples and ratings of {small:d} and {large:d} VMs")
def _sizes(context, small, large):
    context.costs = [
        [min(_costs_us(size)[part] for _ in range(RUNS)) for part in (0, 1)]
        for size in (small, large)
    ]


def _costs_us(size):
    """Return the processor times of a sample and of a rating for each VM."""
    trust = VmTrust()
    vms = [f"vm{number}" for number in range(size)]
    loads = [_load(vm) for vm in vms]
    began_ns = time.process_time_ns()
    for number, vm in enumerate(vms * 20):
        trust.observe_run(
            vm,
            number % 97,
            run_ms=3000 + 7 * (number % 101),
            weight=SAMPLE_SHARE,
            now_s=number / 100,
        )
    sampled_ns = time.process_time_ns()
    for _ in range(20):
        trust.rate(loads, now_s=size)
    rated_ns = time.process_time_ns()
    count = 20 * size * 1000
    return (sampled_ns - began_ns) / count, (rated_ns - sampled_ns) / count


@then(
    "both cost at {large:d} VMs at most {ratio:g} times as much for each VM "
    "as at {small:d}"
)
def _costs(context, large, ratio, small):
    small_us, large_us = context.costs
    found = [
        math.inf if not a else b / a
        for a, b in zip(small_us, large_us, strict=True)
    ]
    assert max(found) <= ratio, context.costs
