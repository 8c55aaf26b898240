"""Steps about the planning of workflows and the pacing of tasks."""

import collections
import random

from behave import given
from behave import then
from behave import when

from radishlanding.policy import EarliestDeadline
from radishlanding.policy import headroom_of
from radishlanding.policy import ImageProfile
from radishlanding.policy import Interference
from radishlanding.policy import Migration
from radishlanding.policy import MovableTask
from radishlanding.policy import PaceController
from radishlanding.policy import VmLoad
from radishlanding.policy import WorkflowPlanner
from radishlanding.vm import Capacity
from radishlanding.workflow import Step
from radishlanding.workflow import TaskRecord
from radishlanding.workflow import WorkflowRecord
from tests.workflow.workflow_steps import make_workflow

NOW_MS = 1_000_000
IMAGE = "cruncher"
# Headroom cost of each heavy task on the paced VM, and their number.
HEAVY_COST = 1.2
HEAVY_TASKS = 4

BEST_EFFORT_CORES = 4


def _step(count=1, cores=1, memory_mb=100, **fields):
    return Step(
        count=count,
        needs=Capacity(millicores=cores * 1000, memory_mb=memory_mb),
        **fields,
    )


@given("workflows")
def _workflows(context):
    context.records = []
    for row in context.table:
        steps = [
            _step(
                estimated_ms=int(row["run_s"]) * 1000,
                standing=row["standing"] == "yes",
            )
        ]
        workflow = make_workflow(
            steps,
            name=row["name"],
            priority=int(row["priority"]),
            stretch=2.0,
            accepted_ms=NOW_MS - int(row["age_s"]) * 1000,
        )
        context.records.append(WorkflowRecord(workflow=workflow))


@then("they are ranked {names}")
def _ranked(context, names):
    order = EarliestDeadline()
    context.records.sort(key=lambda rec: order.key(rec, now_ms=NOW_MS))
    found = " ".join(rec.workflow.workflow_id for rec in context.records)
    assert found == names, found


@given("VMs")
def _vms(context):
    context.loads = []
    context.interference = Interference()
    for row in context.table:
        capacity = Capacity(
            millicores=int(row["cores"]) * 1000,
            memory_mb=int(row["free_mb"]),
        )
        context.loads.append(
            VmLoad(
                vm=row["vm"],
                boot="b",
                pool="order-desk",
                zone=row["zone"],
                labels=row["labels"].split(","),
                capacity=capacity,
                free=capacity,
                idle_millicores=capacity.millicores,
            )
        )


@given("a serving task on {vm:w}")
def _serving(context, vm):
    step = _step(cores=8, standing=True, latency_target_ms=100)
    _load(context, vm).add(("serve", 0, 0), step)


def _load(context, vm):
    return next(load for load in context.loads if load.vm == vm)


def _observe(context, growth, times):
    for _ in range(4):
        context.interference.observe([("t", 0.4)], {})
    for _ in range(times):
        context.interference.observe([("t", 0.4 + growth)], {IMAGE: 0.1})


@given("a heavy image")
def _heavy(context):
    _observe(context, 0.9, 12)


@given("a light image")
def _light(context):
    _observe(context, 0.0, 12)


def _plan(context, workflow, *, now_ms=NOW_MS, planner=None):
    context.planner = planner or WorkflowPlanner(
        order=EarliestDeadline(),
        interference=context.interference,
        rng=random.Random(1),
    )
    workflow.accepted_ms = workflow.accepted_ms or now_ms
    context.workflow = workflow
    context.assignments = context.planner.plan(
        [WorkflowRecord(workflow=workflow)], context.loads, now_ms=now_ms
    )


def _plan_step(context, step, **fields):
    _plan(context, make_workflow([step], **fields))


@when("a step of {count:d} tasks of {cores:d} cores and {mb:d} MB is planned")
def _sized(context, count, cores, mb):
    _plan_step(context, _step(count, cores, mb))


@when(
    "a step of {count:d} tasks of {cores:d} cores and {mb:d} MB that needs "
    "label {label:w} is planned"
)
def _labelled(context, count, cores, mb, label):
    _plan_step(context, _step(count, cores, mb, label=label))


@when("a step of {count:d} tasks with at most {limit:d} per VM is planned")
def _spread(context, count, limit):
    _plan_step(context, _step(count, max_per_vm=limit))


@when(
    "a step of {count:d} tasks of {cores:d} cores with its data on {rack:w} "
    "is planned"
)
def _near(context, count, cores, rack):
    _plan_step(context, _step(count, cores, data_rack=rack))


@when("a gang of {count:d} tasks of {cores:d} cores is planned")
def _gang(context, count, cores):
    for load in context.loads:
        load.free = load.capacity
        load.idle_millicores = load.capacity.millicores
    _plan_step(context, _step(count, cores, gang=True))


@when("a gang of {count:d} tasks of {cores:d} cores on one rack is planned")
def _rack_gang(context, count, cores):
    _plan_step(context, _step(count, cores, gang=True, same_rack=True))


@when(
    "a step of {count:d} occurrences, the first due 1 s ago and one each "
    "10 s, is planned"
)
def _timed(context, count):
    _plan_step(
        context,
        _step(2),
        repeats=count,
        first_due_ms=NOW_MS - 1000,
        interval_ms=10_000,
    )


@when("a step of {count:d} best-effort tasks of that image is planned")
def _best_effort(context, count):
    step = _step(count, BEST_EFFORT_CORES, fills=True, image=IMAGE)
    _plan_step(context, step)


@when("a step of {count:d} best-effort tasks of a new image is planned")
def _best_effort_new(context, count):
    _plan_step(context, _step(count, 4, fills=True, image="new"))


@when("it is planned again {wait_s:d} s later")
def _again(context, wait_s):
    _plan(
        context,
        context.workflow,
        now_ms=NOW_MS + wait_s * 1000,
        planner=context.planner,
    )


def _by_vm(context):
    return collections.Counter(item.vm for item in context.assignments)


@then("nothing is placed")
def _nothing(context):
    assert not context.assignments, context.assignments


@then("{count:d} tasks go to {vm:w}")
@then("{count:d} task goes to {vm:w}")
def _one_place(context, count, vm):
    assert _by_vm(context) == {vm: count}, _by_vm(context)


@then("{first:d} tasks go to {a:w} and {second:d} tasks go to {b:w}")
@then("{first:d} tasks go to {a:w} and {second:d} task goes to {b:w}")
def _two_places(context, first, a, second, b):
    assert _by_vm(context) == {a: first, b: second}, _by_vm(context)


@then("none goes to {vm:w}")
def _none_goes(context, vm):
    assert context.assignments
    assert _by_vm(context)[vm] == 0, _by_vm(context)


@then("all of them have the same attempt number")
def _same_attempt(context):
    assert len({item.attempt for item in context.assignments}) == 1


@then("only tasks of occurrence {number:d} are placed")
def _occurrence(context, number):
    found = {item.task_id.split(".")[1] for item in context.assignments}
    assert found == {str(number)}, found


@when(
    "an image that uses a tenth of a VM raises tail latencies by {growth:g} "
    "in {times:d} observations"
)
def _observed(context, growth, times):
    context.interference = Interference()
    _observe(context, growth, times)


@when(
    "an image raises tail latencies by {growth:g} in {bad:d} observations and "
    "by 0.0 in {good:d}, by turns"
)
def _observed_by_turns(context, growth, bad, good):
    context.interference = Interference()
    for _ in range(bad):
        _observe(context, growth, 1)
        _observe(context, 0.0, good // bad)


@when(
    "an image that takes {taken:g} of a serving task's capacity runs beside a "
    "load of {load:g}"
)
def _observed_at_load(context, taken, load):
    context.interference = Interference()
    for _ in range(4):
        context.interference.observe([("t", _tail_at(load))], {})
    for _ in range(60):
        context.interference.observe(
            [("t", _tail_at(load + taken))], {IMAGE: 0.1}
        )


def _tail_at(load):
    """Return the tail latency of a queue, a sixth of the target if idle."""
    return 1 / (6 * (1 - load))


@given("four light images that another leader has learned")
def _restored_light(context):
    context.interference = Interference()
    context.images = [f"image-{number}" for number in range(4)]
    context.interference.restore(
        [
            ImageProfile(
                image=image, weight=1.5, observations=50, is_light=True
            )
            for image in context.images
        ]
    )


@when(
    "they saturate 20 VMs whose serving tasks have just started, and are "
    "paused"
)
def _saturated(context):
    for share, cpu_share in ((8.0, 0.1), (2.8, 0.0), (0.7, 0.0)):
        for vm in range(20):
            context.interference.observe(
                [(f"{vm}-{number}", share) for number in range(5)],
                dict.fromkeys(context.images, cpu_share),
            )


@then("all four are still light")
def _still_light(context):
    weights = {
        image: context.interference.weight(image) for image in context.images
    }
    assert all(map(context.interference.is_light, context.images)), weights


@then("it is classified as {kind:w}")
def _classified_as(context, kind):
    is_light = context.interference.is_light(IMAGE)
    weight = context.interference.weight(IMAGE)
    assert is_light == (kind == "light"), weight


def _measure(context, share):
    """Update the controller with a tail latency at the current paces."""
    context.controller.update(
        headroom_of(share) if share else None,
        heavy_count=HEAVY_TASKS,
        heavy_cost=HEAVY_COST * sum(context.paces) / 100,
    )
    context.paces = _heavy_paces(context)


def _heavy_paces(context):
    return context.controller.heavy_percents([HEAVY_COST] * HEAVY_TASKS)


@given("a VM with heavy and light best-effort tasks at full pace")
def _full_pace(context):
    context.controller = PaceController()
    context.paces = [100] * HEAVY_TASKS
    _measure(context, 0.0)


@when("the worst tail latency is {share:g} of its target")
def _tail(context, share):
    _measure(context, share)


@when("it is {share:g} again, twice")
def _tail_twice(context, share):
    _measure(context, share)
    _measure(context, share)


@when("it is {share:g} for {rounds:d} rounds")
def _tail_rounds(context, share, rounds):
    for _ in range(rounds):
        _measure(context, share)


@when("it has no serving tasks")
def _no_serving(context):
    _measure(context, 1.5)
    _measure(context, 0.0)


@then("heavy tasks stop and light ones keep their pace")
def _heavy_stopped(context):
    assert _heavy_paces(context) == [0] * HEAVY_TASKS
    assert context.controller.light_percent == 100


@then("light tasks stop as well")
def _light_stopped(context):
    assert context.controller.light_percent == 0


@then("heavy tasks run at less than half of the full pace")
def _heavy_slow(context):
    paces = _heavy_paces(context)
    assert 0 < sum(paces) < 50 * HEAVY_TASKS, paces


@then("all tasks run at full pace")
def _all_full(context):
    paces = _heavy_paces(context)
    assert paces == [100] * HEAVY_TASKS, paces
    assert context.controller.light_percent == 100


@then("the first runs at full pace and the last is stopped")
def _first_full(context):
    paces = _heavy_paces(context)
    assert paces[0] == 100 and paces[-1] == 0, paces


@when(
    "tasks of it run slowly on {vm:w} for two rounds, with checkpoints and "
    "without"
)
def _run_there(context, vm):
    load = _load(context, vm)
    tasks = []
    for name, checkpointing in (("saves", True), ("does-not", False)):
        step = _step(
            1, 4, fills=True, image=IMAGE, checkpointing=checkpointing
        )
        load.add((name, 0, 0), step)
        load.headroom_cost += context.interference.headroom_cost(
            step, load.capacity
        )
        tasks.append(
            MovableTask(
                task=TaskRecord(task_id=name, vm=vm),
                step=step,
                load=load,
                left_ms=4000,
                elsewhere_ms=4000,
                pace=0.1,
                age_ms=2000,
                rank=0,
            )
        )
    migration = Migration(
        interference=context.interference, min_idle_share=0.6
    )
    first_moves = migration.choose(tasks, context.loads)
    assert not first_moves, first_moves
    context.moves = [
        move.task for move in migration.choose(tasks, context.loads)
    ]


@given("the serving tasks of {vm:w} spare a headroom of {headroom:g}")
def _spare(context, vm, headroom):
    _load(context, vm).spare_headroom = headroom


@given(
    "the serving tasks of {vm:w} spare the headroom of {count:g} of its tasks"
)
def _spare_tasks(context, vm, count):
    load = _load(context, vm)
    step = _step(1, BEST_EFFORT_CORES, fills=True, image=IMAGE)
    cost = context.interference.headroom_cost(step, load.capacity)
    load.spare_headroom = count * cost


@then("{count:d} tasks are placed")
def _placed(context, count):
    assert len(context.assignments) == count, context.assignments


@then("no VM gets more than {count:d} task")
def _at_most_each(context, count):
    assert max(_by_vm(context).values()) <= count, _by_vm(context)


@then("none moves")
def _none_moves(context):
    assert not context.moves, context.moves


@then("only the one with checkpoints moves")
def _moves(context):
    assert [task.task_id for task in context.moves] == ["saves"]


@given("a workflow of 10 s that repeats each 30 s, 95 s after its start")
def _repeated(context):
    workflow = make_workflow(
        [_step(estimated_ms=10_000)],
        stretch=2.0,
        repeats=8,
        first_due_ms=NOW_MS,
        interval_ms=30_000,
        accepted_ms=NOW_MS - 60_000,
    )
    context.now_ms = NOW_MS + 95_000
    context.record = WorkflowRecord(workflow=workflow)


@then("its objective counts from 90 s when the first three are done")
def _from_fourth(context):
    context.record.done = {f"{number}.0": 1 for number in range(3)}
    start_ms = context.record.objective_start_ms(context.now_ms)
    assert start_ms == NOW_MS + 90_000, start_ms


@then("its objective counts from 0 s when none is done")
def _from_first(context):
    record = WorkflowRecord(workflow=context.record.workflow)
    assert record.objective_start_ms(context.now_ms) == NOW_MS


@then("another workflow whose deadline is in 16 s goes after it")
def _goes_after(context):
    other = make_workflow(
        [_step(estimated_ms=10_000)],
        name="f" * 16,
        stretch=2.0,
        accepted_ms=context.now_ms - 4_000,
    )
    order = EarliestDeadline()
    keys = [
        order.key(record, now_ms=context.now_ms)
        for record in (context.record, WorkflowRecord(workflow=other))
    ]
    assert keys == sorted(keys), keys


@when("a step of {count:d} tasks that is repeated {times:d} times is planned")
def _repeated_step(context, count, times):
    _plan_step(
        context,
        _step(count),
        repeats=times,
        interval_ms=1000,
        first_due_ms=NOW_MS,
    )


@when("the end of one of its tasks is recorded")
def _end_recorded(context):
    context.planner.mark_changed({context.workflow.workflow_id})


@then("the workflow {state}")
def _planning_state(context, state):
    record = WorkflowRecord(workflow=context.workflow)
    expected = {"is left out": True, "is planned again": False}[state]
    assert context.planner.is_fully_placed(record) == expected


@given(
    "light best-effort tasks that take {costs} of headroom, paced at "
    "{percent:d} %"
)
def _slowed_light(context, costs, percent):
    context.controller = PaceController()
    context.controller.light_percent = percent
    context.costs = [float(cost) for cost in costs.split(",")]


@then("their paces are {paces}")
def _light_paces(context, paces):
    context.paces = context.controller.light_percents(context.costs)
    assert context.paces == [int(p) for p in paces.split()], context.paces


@then("they take no more headroom than at the same pace")
def _light_headroom(context):
    taken = sum(
        cost * pace
        for cost, pace in zip(context.costs, context.paces, strict=True)
    )
    allowed = sum(context.costs) * context.controller.light_percent
    assert taken <= allowed + 1e-6, (taken, allowed)


@given("a budget of {budget:g} of headroom")
def _budget(context, budget):
    context.controller = PaceController()
    context.controller.update(2.0, heavy_count=2, heavy_cost=0.0)
    context.controller.budget = budget


@when("heavy tasks that take {first:g} and {second:g} of it are paced")
def _pace_heavy(context, first, second):
    context.paces = context.controller.heavy_percents([first, second])


@then("the first runs at {percent:d} %")
def _first_pace(context, percent):
    assert context.paces[0] == percent, context.paces
