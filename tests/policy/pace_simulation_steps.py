"""Steps that simulate the pacing of best-effort tasks on one VM."""

import math
import random

from behave import given
from behave import then
from behave import when

from radishlanding.policy import headroom_of
from radishlanding.policy import PaceController
from radishlanding.policy import PRIOR_WEIGHT

ROUND_S = 0.6
SIMULATED_S = 120.0
# From the platform's pages: the run time of a task, arrivals per second on
# one VM of a site, and the period of the load of serving tasks.
TASK_S = 5.4
TASKS_PER_S = 0.9
# Share of a VM that a task uses, and the headroom cost that it is assumed to
# have, whatever its true effect.
TASK_CPU_SHARE = 0.11
ASSUMED_COST = PRIOR_WEIGHT * TASK_CPU_SHARE
MAX_TASKS = 8
HEAVY_TASKS = 4
# Tail latency of an idle serving task, and the one up to which heavy tasks
# could use the VM, as shares of the target.
IDLE_SHARE = 1 / 6
ALLOWED_SHARE = 0.8
# Capacity that a queue keeps at least, so that its latency stays finite.
MIN_SPARE = 0.02
PERIOD_S = 20.0
MAX_VIOLATION_S = 4.0
KINDS = {
    "add 0.02 each": lambda rng: 0.02,
    "add 0.1 each": lambda rng: 0.1,
    "add 0.3 each": lambda rng: 0.3,
    "change all the time": lambda rng: rng.choice([0.02, 0.1, 0.5]),
}


class _Task:
    """A best-effort task on the VM.

    At full speed it adds ``growth`` to the tail latency, as a share of the
    target.
    """

    __slots__ = ("done_s", "growth")

    def __init__(self, growth):
        self.done_s = 0.0
        self.growth = growth


class _Controlled:
    """Paces by :class:`PaceController`, as if all tasks were heavy."""

    __slots__ = ("_controller", "_paces")

    def __init__(self):
        self._controller = PaceController()
        self._paces = []

    def paces(self, share, tasks):
        """Return the pace of each task."""
        self._controller.update(
            headroom_of(share),
            heavy_count=len(tasks),
            heavy_cost=ASSUMED_COST * sum(self._paces) / 100,
        )
        self._paces = self._controller.heavy_percents(
            [ASSUMED_COST] * len(tasks)
        )
        return self._paces


class _Unpaced:
    """Never slows a task down."""

    __slots__ = ()

    def paces(self, _share, tasks):
        """Return the pace of each task."""
        return [100] * len(tasks)


class _Stopped:
    """Stops all best-effort tasks beside serving tasks."""

    __slots__ = ()

    def paces(self, _share, tasks):
        """Return the pace of each task."""
        return [0] * len(tasks)


class _Result:
    """Result of simulating one way of pacing."""

    __slots__ = ("completed", "longest_s", "over_s")

    def __init__(self):
        self.completed = 0
        self.longest_s = 0.0
        self.over_s = 0.0


def _simulate(pacing, growth_of, *, seed):
    rng = random.Random(seed)
    result, tasks, measured, over_s = _Result(), [], 0.35, 0.0
    for number in range(int(SIMULATED_S / ROUND_S)):
        if len(tasks) < MAX_TASKS and rng.random() < TASKS_PER_S * ROUND_S:
            tasks.append(_Task(growth_of(rng)))
        tasks.sort(key=lambda task: -task.done_s)
        paces = pacing.paces(measured, tasks)
        wave = math.sin(2 * math.pi * number * ROUND_S / PERIOD_S)
        measured = 0.35 + 0.1 * wave + rng.uniform(-0.03, 0.03)
        for task, pace in zip(tasks, paces, strict=True):
            measured += task.growth * pace / 100
            task.done_s += ROUND_S * pace / 100
        over_s = over_s + ROUND_S if measured > 1 else 0.0
        result.longest_s = max(result.longest_s, over_s)
        result.over_s += ROUND_S * (measured > 1)
        result.completed += sum(task.done_s >= TASK_S for task in tasks)
        tasks = [task for task in tasks if task.done_s < TASK_S]
    return result


def _simulate_light(added, error, heavy_growth, *, seed):
    """Return the longest time above the target, and the light tasks' work.

    Only time in which best-effort tasks run counts. The light tasks share
    the VM with two heavy ones that may start when there is headroom.
    """
    rng = random.Random(seed)
    controller, measured, over_s, longest_s = PaceController(), 0.35, 0.0, 0.0
    light_work, heavy = 0.0, [0, 0]
    for number in range(int(SIMULATED_S / ROUND_S)):
        controller.update(
            headroom_of(measured),
            heavy_count=2,
            heavy_cost=ASSUMED_COST * sum(heavy) / 100,
        )
        heavy = controller.heavy_percents([ASSUMED_COST] * 2)
        wave = math.sin(2 * math.pi * number * ROUND_S / PERIOD_S)
        tail = 0.35 + 0.15 * wave + added * controller.light_percent / 100
        tail += heavy_growth * sum(heavy) / 100
        is_violation = tail > 1 and (controller.light_percent or any(heavy))
        over_s = over_s + ROUND_S if is_violation else 0.0
        longest_s = max(longest_s, over_s)
        light_work += controller.light_percent / 100 * ROUND_S
        measured = tail * (1 + rng.uniform(-error, error))
    return longest_s, light_work


class _QueueResult:
    """Result of pacing heavy tasks beside a serving task's queue."""

    __slots__ = ("allowed", "longest_s", "over_s", "work")

    def __init__(self):
        self.allowed = 0.0
        self.longest_s = 0.0
        self.over_s = 0.0
        self.work = 0.0


def _simulate_queue(low, high, period_s, taken, factor, *, seed):
    """Pace four heavy tasks of equal load, with weights that are wrong.

    Work is counted in seconds of a task at full speed.
    """
    rng = random.Random(seed)
    controller, paces, result = (
        PaceController(),
        [0] * HEAVY_TASKS,
        _QueueResult(),
    )
    assumed_cost = factor * taken / IDLE_SHARE
    phase = rng.uniform(0, 2 * math.pi)
    measured, measured_cost, over_s = IDLE_SHARE / (1 - low), 0.0, 0.0
    for number in range(int(SIMULATED_S / ROUND_S)):
        controller.update(
            headroom_of(measured),
            heavy_count=HEAVY_TASKS,
            heavy_cost=measured_cost,
        )
        paces = controller.heavy_percents([assumed_cost] * HEAVY_TASKS)
        wave = math.sin(2 * math.pi * number * ROUND_S / period_s + phase)
        load = (low + high) / 2 + (high - low) / 2 * wave
        running = sum(paces) / 100
        tail = IDLE_SHARE / max(MIN_SPARE, 1 - load - taken * running)
        is_violation = tail > 1 and running > 0
        over_s = over_s + ROUND_S if is_violation else 0.0
        result.longest_s = max(result.longest_s, over_s)
        result.over_s += ROUND_S * is_violation
        result.work += ROUND_S * running
        could_run = (1 - load - IDLE_SHARE / ALLOWED_SHARE) / taken
        result.allowed += ROUND_S * max(0.0, min(HEAVY_TASKS, could_run))
        measured = tail * (1 + rng.uniform(-0.1, 0.1))
        measured_cost = assumed_cost * running
    return result


@given(
    "serving tasks whose load varies between {low:g} and {high:g} of their "
    "capacity with a period of {period_s:g} s"
)
def _varying_load(context, low, high, period_s):
    context.loads = (low, high, period_s)


@given("heavy best-effort tasks that take {taken:g} of that capacity each")
def _heavy_tasks(context, taken):
    context.taken = taken


@when(
    "they are paced with weights of {factor:g} times the true ones in "
    "{runs:d} simulations"
)
def _pace_heavy(context, factor, runs):
    context.queue_results = [
        _simulate_queue(*context.loads, context.taken, factor, seed=seed)
        for seed in range(runs)
    ]


@then("the target is never exceeded for 4 s in a row beside heavy tasks")
def _no_long_heavy_violation(context):
    longest_s = max(result.longest_s for result in context.queue_results)
    assert longest_s < MAX_VIOLATION_S, longest_s


@then("the target is exceeded for less than a twentieth of the time")
def _rare_heavy_violations(context):
    over_s = sum(result.over_s for result in context.queue_results)
    simulated_s = SIMULATED_S * len(context.queue_results)
    assert over_s < simulated_s / 20, over_s / simulated_s


@then(
    "heavy tasks do {share:g} or more of the work that a tail latency at 0.8 "
    "of the target allows"
)
def _heavy_work(context, share):
    work = sum(result.work for result in context.queue_results)
    allowed = sum(result.allowed for result in context.queue_results)
    assert work >= share * allowed, work / allowed


@given("light best-effort tasks that add {added:g} of the target in total")
def _light_tasks(context, added):
    context.added = added


@when("measurements are off by up to {error:g} in {runs:d} simulations")
def _pace_light(context, error, runs):
    context.light_results = [
        _simulate_light(context.added, error, 0.3, seed=seed)
        for seed in range(runs)
    ]


@then("the target is never exceeded for 4 s in a row beside light tasks")
def _no_long_light_violation(context):
    longest_s = max(longest_s for longest_s, _ in context.light_results)
    assert longest_s < MAX_VIOLATION_S, longest_s


@then("light tasks run for {share:g} of the time or more")
def _light_work(context, share):
    works_s = [work_s for _, work_s in context.light_results]
    assert sum(works_s) >= share * SIMULATED_S * len(works_s), works_s


@given("a VM whose best-effort tasks {kind}")
def _vm_with_tasks(context, kind):
    context.growth_of = KINDS[kind.strip()]


@when("the three ways of pacing are simulated")
def _simulate_all(context):
    context.results = {
        way.__name__: _simulate(way(), context.growth_of, seed=7)
        for way in (_Controlled, _Unpaced, _Stopped)
    }


@then("pace control never exceeds the latency target for 4 s in a row")
def _no_long_violation(context):
    longest_s = context.results["_Controlled"].longest_s
    assert longest_s < MAX_VIOLATION_S, longest_s


@then("it exceeds the target for less than {limit_s:g} s in total")
def _few_violations(context, limit_s):
    over_s = {name: result.over_s for name, result in context.results.items()}
    assert over_s["_Controlled"] < limit_s, over_s


@then("it completes at least {tasks:d} tasks, where full stops complete none")
def _tasks_completed(context, tasks):
    completed = {
        name: result.completed for name, result in context.results.items()
    }
    assert completed["_Stopped"] == 0, completed
    assert completed["_Controlled"] >= tasks, completed
