"""Steps about how long a workflow waits with nothing running."""

import dataclasses
import random

from behave import given
from behave import then
from behave import when

from radishlanding.policy import EarliestDeadline
from radishlanding.policy import Interference
from radishlanding.policy import Stall
from radishlanding.policy import VmLoad
from radishlanding.policy import WorkflowPlanner
from radishlanding.vm import Capacity
from radishlanding.workflow import EndKind
from radishlanding.workflow import LogEntry
from radishlanding.workflow import Step
from radishlanding.workflow import TaskEnd
from radishlanding.workflow import TaskId
from radishlanding.workflow import WorkflowRegistry
from tests.workflow.workflow_steps import make_workflow
from tests.workflow.workflow_steps import NAME

CAPACITY = Capacity(millicores=32_000, memory_mb=128_000)
IMAGE = "image"
# As often as a leader plans without other causes.
ROUND_MS = 250
START_MS = 1_000_000

SERVING = Step(
    count=1,
    needs=Capacity(millicores=6400, memory_mb=13_000),
    standing=True,
    latency_target_ms=100,
)
OTHER_IMAGE = Step(
    count=1,
    needs=Capacity(millicores=28_000, memory_mb=1000),
    fills=True,
    image="other",
)
BEST_EFFORT = Step(
    count=12,
    needs=Capacity(millicores=4000, memory_mb=6400),
    fills=True,
    image=IMAGE,
)


@given("{count:d} VMs on which best-effort tasks are unwanted: {reason}")
def _vms(context, count, reason):
    context.interference = Interference()
    context.loads = [_load(number) for number in range(count)]
    context.step = BEST_EFFORT
    if reason != "new image":
        _teach_heavy(context.interference)
    for load in context.loads:
        load.spare_headroom = 0.0
        if reason == "new image":
            _add(context, load, BEST_EFFORT)
        elif reason == "busy processors":
            _add(context, load, OTHER_IMAGE)


@given("{count:d} VMs with neither serving tasks nor idle processors")
def _busy_vms(context, count):
    context.interference = Interference()
    _teach_heavy(context.interference)
    context.step = BEST_EFFORT
    context.loads = [_empty_load(number) for number in range(count)]
    for load in context.loads:
        _add(context, load, OTHER_IMAGE)
        load.idle_millicores = 0.0


@given("{count:d} VMs that are full")
def _full_vms(context, count):
    context.interference = Interference()
    context.step = BEST_EFFORT
    context.loads = [_empty_load(number) for number in range(count)]
    for load in context.loads:
        load.free = Capacity()


@given("one more with a serving task and idle processors")
def _one_more(context):
    load = _load(len(context.loads))
    load.spare_headroom = 0.0
    context.loads.append(load)
    context.expected_vm = load.vm


@given(
    "one more without tasks that refuses each one after {delay_s:g} s, for "
    "{pause_s:g} s"
)
def _refusing(context, delay_s, pause_s):
    load = _empty_load(len(context.loads))
    context.loads.append(load)
    context.refusing_vm = load.vm
    context.refusal_delay_ms = delay_s * 1000
    context.refusal_pause_ms = pause_s * 1000


def _empty_load(number):
    return VmLoad(
        vm=f"vm{number}",
        boot="b",
        pool="order-desk",
        zone="z0",
        labels=["k", "r1"],
        capacity=CAPACITY,
        free=CAPACITY,
        idle_millicores=CAPACITY.millicores,
    )


def _load(number):
    load = _empty_load(number)
    load.add(("serve", 0, 0), SERVING)
    return load


def _teach_heavy(interference):
    for _ in range(4):
        interference.observe([("t", 0.4)], {})
    for _ in range(12):
        interference.observe([("t", 1.3)], {IMAGE: 0.1})


def _add(context, load, step):
    load.add(("other", 0, 0), step)
    load.headroom_cost += context.interference.headroom_cost(
        step, load.capacity
    )


@when(
    "a workflow of 12 best-effort tasks is placed for {length_s:d} s, each "
    "running {run_s:g} s"
)
def _play(context, length_s, run_s):
    planner = WorkflowPlanner(
        order=EarliestDeadline(),
        interference=context.interference,
        rng=random.Random(1),
    )
    workflow = make_workflow([context.step], accepted_ms=START_MS)
    registry = WorkflowRegistry()
    _apply(registry, START_MS, accepted=[workflow])
    ends_ms, context.idle_ms, idle_since_ms = {}, [], START_MS
    context.started_ms, context.vms = {}, set()
    # Time of the refusal, and attempt, by task.
    context.refusals, context.refuses_until_ms = {}, START_MS
    # When each task was placed on the refusing VM, and is refused.
    context.refused_ms = []
    for now_ms in range(START_MS, START_MS + length_s * 1000, ROUND_MS):
        ended_ms = _end_tasks(registry, ends_ms, now_ms)
        if ended_ms is not None:
            idle_since_ms = ended_ms
            planner.mark_ran([NAME], now_ms=now_ms)
        _refuse_tasks(context, registry, now_ms)
        record = registry.workflows[NAME]
        if record.phase.has_ended:
            break
        loads = _current_loads(context, registry)
        if now_ms < context.refuses_until_ms:
            loads = [ld for ld in loads if ld.vm != context.refusing_vm]
        planner.use_stalls(
            _stalls(registry, ends_ms, now_ms - idle_since_ms), now_ms=now_ms
        )
        active = [] if planner.is_fully_placed(record) else [record]
        assignments = planner.plan(active, loads, now_ms=now_ms)
        _apply(registry, now_ms, assignments=assignments)
        for item in _accepted(context, assignments, now_ms):
            ends_ms[item.task_id] = now_ms + run_s * 1000
            context.started_ms.setdefault(item.task_id, now_ms - START_MS)
            context.vms.add(item.vm)
        planner.mark_changed([NAME])
        if not ends_ms:
            context.idle_ms.append(now_ms - idle_since_ms)


@when(
    "a workflow of 12 best-effort tasks is placed for {length_s:d} s as a "
    "{kind}"
)
def _play_together(context, length_s, kind):
    context.step = dataclasses.replace(
        context.step, gang=kind == "gang", standing=kind == "standing step"
    )
    _play(context, length_s, 1.5)


def _apply(registry, now_ms, **changes):
    registry.apply(LogEntry(commit_id="c", made_ms=now_ms, **changes))


def _end_tasks(registry, ends_ms, now_ms):
    """End the tasks that are due; return the time if none is left."""
    due = [task_id for task_id, end in ends_ms.items() if end <= now_ms]
    ends = []
    for task_id in due:
        del ends_ms[task_id]
        _, task = registry.find(task_id)
        ends.append(
            TaskEnd(task_id=task_id, attempt=task.attempt, kind=EndKind.DONE)
        )
    _apply(registry, now_ms, ends=ends)
    return now_ms if due and not ends_ms else None


def _stalls(registry, ends_ms, stalled_ms):
    """Return what a leader knows of attempts that do not run."""
    vms = registry.busy_vms()
    if ends_ms or not vms:
        return {}
    return {NAME: Stall(stalled_ms=stalled_ms, vms=frozenset(vms))}


def _accepted(context, assignments, now_ms):
    """Return the assignments that no VM is going to refuse."""
    refusing_vm = context.refusing_vm if "refusing_vm" in context else None
    refused = [item for item in assignments if item.vm == refusing_vm]
    for item in refused:
        at_ms = now_ms + context.refusal_delay_ms
        context.refusals[item.task_id] = at_ms, item.attempt
        context.refused_ms.append((now_ms, at_ms))
    return [item for item in assignments if item not in refused]


def _refuse_tasks(context, registry, now_ms):
    """End the tasks whose refusal is due."""
    ends = [
        TaskEnd(task_id=task_id, attempt=attempt, kind=EndKind.NOT_RUN)
        for task_id, (at_ms, attempt) in context.refusals.items()
        if at_ms <= now_ms
    ]
    for end in ends:
        del context.refusals[end.task_id]
    _apply(registry, now_ms, ends=ends)
    if ends:
        context.refuses_until_ms = now_ms + context.refusal_pause_ms


def _current_loads(context, registry):
    """Return the loads with the tasks that the registry has placed."""
    loads = [load.copy() for load in context.loads]
    for load in loads:
        for task in registry.tasks_on(load.vm):
            load.add(TaskId.parse(task.task_id)[:3], context.step)
            load.headroom_cost += context.interference.headroom_cost(
                context.step, load.capacity
            )
    return loads


@then("some task of it ran each time within {limit_s:g} s")
def _ran_within(context, limit_s):
    longest_ms = max(context.idle_ms)
    assert longest_ms < limit_s * 1000, longest_ms


@then("{count:d} tasks of it have started within {limit_s:g} s")
def _count_started(context, count, limit_s):
    started = [
        at_ms
        for at_ms in context.started_ms.values()
        if at_ms < limit_s * 1000
    ]
    assert len(started) == count, context.started_ms


@then("tasks were placed there again within {limit_s:g} s of the refusals")
def _placed_again(context, limit_s):
    first_end_ms = min(end_ms for _, end_ms in context.refused_ms)
    again = [at for at, _ in context.refused_ms if at >= first_end_ms]
    assert again and min(again) <= first_end_ms + limit_s * 1000


@then("each task of it has started within {limit_s:d} s")
def _started_within(context, limit_s):
    assert len(context.started_ms) == context.step.count, context.started_ms
    latest_ms = max(context.started_ms.values())
    assert latest_ms < limit_s * 1000, context.started_ms


@then("it is the only VM that gets tasks")
def _only_vm(context):
    assert context.vms == {context.expected_vm}, context.vms


@when(
    "a scheduled workflow of best-effort tasks is planned from {early_s:d} s "
    "before it is due"
)
def _plan_early(context, early_s):
    planner = WorkflowPlanner(
        order=EarliestDeadline(),
        interference=context.interference,
        rng=random.Random(1),
    )
    context.due_ms = START_MS + early_s * 1000
    workflow = make_workflow(
        [context.step],
        accepted_ms=START_MS,
        repeats=2,
        first_due_ms=context.due_ms,
        interval_ms=60_000,
    )
    registry = WorkflowRegistry()
    _apply(registry, START_MS, accepted=[workflow])
    context.first_ms = None
    now_ms = START_MS
    while context.first_ms is None and now_ms < context.due_ms + 10_000:
        loads = _current_loads(context, registry)
        records = list(registry.workflows.values())
        if planner.plan(records, loads, now_ms=now_ms):
            context.first_ms = now_ms
        now_ms += ROUND_MS


@then("it starts no task within {wait_s:d} s of being due")
def _not_at_once(context, wait_s):
    assert context.first_ms is not None
    assert context.first_ms >= context.due_ms + wait_s * 1000, (
        context.first_ms - context.due_ms
    )


@when(
    "a workflow that was accepted {age_s:d} s before is planned by a new "
    "leader"
)
def _plan_accepted(context, age_s):
    planner = WorkflowPlanner(
        order=EarliestDeadline(),
        interference=context.interference,
        rng=random.Random(1),
    )
    workflow = make_workflow(
        [context.step], accepted_ms=START_MS - age_s * 1000
    )
    registry = WorkflowRegistry()
    _apply(registry, workflow.accepted_ms, accepted=[workflow])
    context.waited_ms = 0
    while not planner.plan(
        list(registry.workflows.values()),
        _current_loads(context, registry),
        now_ms=START_MS + context.waited_ms,
    ):
        context.waited_ms += ROUND_MS


@when(
    "a workflow is planned on a clock that is set back by {back_s:d} s {state}"
)
def _plan_set_back(context, back_s, state):
    planner = WorkflowPlanner(
        order=EarliestDeadline(),
        interference=context.interference,
        rng=random.Random(1),
    )
    accepted_ms = START_MS + back_s * 1000
    workflow = make_workflow([context.step], accepted_ms=accepted_ms)
    registry = WorkflowRegistry()
    _apply(registry, accepted_ms, accepted=[workflow])
    records = list(registry.workflows.values())
    if state == "while it waits":
        loads = _current_loads(context, registry)
        assert not planner.plan(records, loads, now_ms=accepted_ms)
    context.waited_ms = 0
    while context.waited_ms < back_s * 1000 and not planner.plan(
        records,
        _current_loads(context, registry),
        now_ms=START_MS + context.waited_ms,
    ):
        context.waited_ms += ROUND_MS


@then("it starts a task within {wait_s:g} s")
def _starts_within(context, wait_s):
    assert context.waited_ms <= wait_s * 1000, context.waited_ms
