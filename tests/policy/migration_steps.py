"""Steps about the moves of slowed tasks."""

import copy
import dataclasses

from behave import given
from behave import then
from behave import when

from radishlanding.policy import EarliestDeadline
from radishlanding.policy import Interference
from radishlanding.policy import Migration
from radishlanding.policy import MovableTask
from radishlanding.policy import MoveGains
from radishlanding.policy import StepProgress
from radishlanding.policy import VmLoad
from radishlanding.policy import WorkflowPlanner
from radishlanding.policy.interference import MIN_OBSERVATIONS
from radishlanding.policy.last_tasks import MIN_LAST
from radishlanding.policy.move import Move
from radishlanding.vm import Capacity
from radishlanding.workflow import Step
from radishlanding.workflow import TaskRecord
from radishlanding.workflow import WorkflowRecord
from tests.workflow.workflow_steps import make_workflow
from tests.workflow.workflow_steps import NAME

CAPACITY = Capacity(millicores=64_000, memory_mb=64_000)
STEP = Step(
    count=9,
    needs=Capacity(millicores=7000, memory_mb=100),
    fills=True,
    checkpointing=True,
    image="cruncher",
)


def _load(vm, **fields):
    return VmLoad(
        vm=vm,
        boot=f"{vm}/1",
        pool="order-desk",
        zone="z0",
        labels=[],
        capacity=CAPACITY,
        free=CAPACITY,
        idle_millicores=CAPACITY.millicores,
        **fields,
    )


def _task(context, name, *, left_s, there_s, **fields):
    return MovableTask(
        task=TaskRecord(task_id=f"{name * 16}.0.0.0", vm="a"),
        step=context.step,
        load=context.loads[0],
        left_ms=1000 * left_s,
        elsewhere_ms=1000 * there_s,
        **fields,
    )


@given("a task in front of it on a that has {left_s:g} s left")
def _in_front(context, left_s):
    context.interference = Interference()
    cost = context.interference.headroom_cost(STEP, CAPACITY)
    context.step = STEP
    context.loads = [
        _load(
            "a", serving_tasks=1, spare_headroom=cost, headroom_cost=2 * cost
        ),
        _load("b"),
    ]
    context.tasks = [
        _task(
            context,
            "f",
            left_s=left_s,
            there_s=left_s,
            pace=1.0,
            age_ms=9000,
            rank=0,
        )
    ]


@given("its step has no checkpoints")
def _no_checkpoints(context):
    context.step = dataclasses.replace(STEP, checkpointing=False)


@given(
    "a task of rank {rank:g} on a that has {left_s:g} s left there and "
    "{there_s:g} s elsewhere, at a pace of {pace:g}, for {age_s:g} s"
)
def _slowed(context, rank, left_s, there_s, pace, age_s):
    context.tasks.append(
        _task(
            context,
            "e",
            left_s=left_s,
            there_s=there_s,
            pace=pace,
            age_ms=1000 * age_s,
            rank=rank,
        )
    )


@when("moves are chosen in {rounds:d} rounds")
def _choose(context, rounds):
    _choose_moves(context, rounds, starts_again=False)


@when("moves are chosen in {rounds:d} rounds, and it starts again after each")
def _choose_again(context, rounds):
    _choose_moves(context, rounds, starts_again=True)


def _choose_moves(context, rounds, *, starts_again):
    migration = Migration(
        interference=context.interference, min_idle_share=0.6
    )
    context.moved = []
    for _ in range(rounds):
        loads = copy.deepcopy(context.loads)
        by_vm = {load.vm: load for load in loads}
        tasks = [
            dataclasses.replace(task, load=by_vm[task.load.vm])
            for task in context.tasks
        ]
        moves = migration.choose(tasks, loads)
        context.moved += moves
        for move in moves:
            move.task.attempt += starts_again


@then("it {result:w}")
def _result(context, result):
    found = [move.task.task_id[0] for move in context.moved]
    assert found == (["e"] if result == "moves" else []), context.moved


@then("it has moved {count:d} times")
def _moved_times(context, count):
    assert len(context.moved) == count, context.moved


@given("tasks of one step that report their work at full pace {how}")
def _siblings(context, how):
    context.is_exact = how == "exactly"
    context.siblings = [
        (
            f"{NAME}.0.0.{row['task']}",
            int(row["percent_per_s"]),
            float(row["pace"]),
        )
        for row in context.table
    ]


@when("they have been reported each second for {period_s:d} s")
def _reported(context, period_s):
    context.progress = StepProgress()
    for now_s in range(period_s + 1):
        context.progress.update(
            [
                (
                    task_id,
                    1,
                    rate * now_s,
                    int(1000 * pace * now_s) if context.is_exact else 0,
                    pace,
                )
                for task_id, rate, pace in context.siblings
            ],
            now_s=float(now_s),
        )


@when(
    "they are reported from {first:d} to {last:d} s, but not at {gap:d} s, by "
    "agents that count anew at {anew:d} s"
)
def _reported_late(context, first, last, gap, anew):
    context.progress = StepProgress()
    for now_s in range(first, last + 1):
        began_s = anew if now_s >= anew else 0
        reports = [
            (
                task_id,
                1,
                rate * now_s,
                int(1000 * pace * (now_s - began_s)),
                pace,
            )
            for task_id, rate, pace in context.siblings
        ]
        context.progress.update(
            [] if now_s == gap else reports, now_s=float(now_s)
        )


@then("a task of the step runs for {run_s:g} s, and z for {own_s:g} s")
def _run_times(context, run_s, own_s):
    found = (
        context.progress.step_run_ms(f"{NAME}.0.0"),
        context.progress.own_run_ms(f"{NAME}.0.0.z"),
    )
    assert found == (1000 * run_s, 1000 * own_s), found


@given("{count:d} tasks of rank {rank:g} take all the headroom of b")
def _on_b(context, count, rank):
    load = context.loads[1]
    load.serving_tasks = 1
    cost = context.interference.headroom_cost(STEP, CAPACITY)
    load.spare_headroom, load.headroom_cost = cost, count * cost
    for name in "opq"[:count]:
        other = _task(
            context,
            name,
            left_s=4,
            there_s=4,
            pace=1.0,
            age_ms=9000,
            rank=rank,
        )
        context.tasks.append(dataclasses.replace(other, load=load))


@given("a VM whose headroom {count:d} tasks of rank {rank:d} take")
def _full_vm(context, count, rank):
    context.interference = Interference()
    for _ in range(MIN_OBSERVATIONS):
        context.interference.observe([("t", 0.5)], {STEP.image: 0.1})
    cost = context.interference.headroom_cost(STEP, CAPACITY)
    other = "o" * 16 + ".0.0"
    context.loads = [
        _load(
            "a",
            serving_tasks=1,
            spare_headroom=1.5 * cost,
            headroom_cost=count * cost,
            best_effort_steps=count * [STEP],
            best_effort_names=count * [other],
        )
    ]
    context.ranks = {other: rank}


@given("it is one of {left:d} tasks of its step that are left")
def _tasks_left(context, left):
    context.tasks[-1] = dataclasses.replace(
        context.tasks[-1], is_last=left <= MIN_LAST
    )


@when("the last {left:d} of 9 tasks of a step of rank {rank:w} are placed")
def _place(context, left, rank):
    step = dataclasses.replace(STEP, estimated_ms=4000)
    ended = [
        TaskRecord(task_id=f"{NAME}.0.0.{index}", attempt=1, is_done=True)
        for index in range(9 - left)
    ]
    record = WorkflowRecord(
        workflow=make_workflow([step]),
        tasks={task.task_id: task for task in ended},
        done={"0.0": len(ended)},
    )
    planner = WorkflowPlanner(
        order=EarliestDeadline(), interference=context.interference
    )
    if rank != "none":
        context.ranks[f"{NAME}.0.0"] = int(rank)
    planner.use_ranks(context.ranks)
    context.placed = planner.plan([record], context.loads, now_ms=1)


@then("{count:d} tasks are placed on it")
def _placed(context, count):
    assert len(context.placed) == count, context.placed


@given("b has a trust of {trust:g}")
def _trust(context, trust):
    context.loads[1].trust = trust


@given("a task that has left a, the best VM, and a {state:w} VM b")
def _left(context, state):
    context.interference = Interference()
    context.loads = [_load("a"), _load("b")]
    other = context.loads[1]
    other.idle_millicores //= 2
    if state == "full":
        other.free = Capacity()
    context.planner = WorkflowPlanner(
        order=EarliestDeadline(), interference=context.interference
    )
    step = dataclasses.replace(STEP, count=1)
    context.record = WorkflowRecord(workflow=make_workflow([step]))
    context.planner.avoid(f"{NAME}.0.0.0", "a")
    # It is pruned each second.
    context.planner.prune(lambda task_id: task_id == f"{NAME}.0.0.0")


@when("it is placed and stopped {times:d} times")
def _placed_again(context, times):
    context.vms = []
    for _ in range(times):
        (placed,) = context.planner.plan(
            [context.record], copy.deepcopy(context.loads), now_ms=1
        )
        context.vms.append(placed.vm)
        context.planner.mark_changed({NAME})


@then("its attempts were on {vms}")
def _attempts_on(context, vms):
    assert context.vms == vms.split(), context.vms


@given("a task that was moved as it would have ended after {here_s:g} s")
def _was_moved(context, here_s):
    context.gains = MoveGains()
    task = TaskRecord(task_id=f"{NAME}.0.0.0", vm="a")
    move = Move(task=task, here_ms=1000 * here_s, there_ms=3000)
    context.gains.record(move, now_s=50.0)


@when("after {end_s:g} s its task is {state:w}")
def _ends(context, end_s, state):
    verdict = {"done": True, "running": False, "cancelled": None}[state]
    context.observed = context.gains.collect(
        lambda _task_id: verdict, now_s=50.0 + end_s
    )


@then("the observed gain is {gain}")
def _gain(context, gain):
    wanted = [] if gain == "none" else [float(gain.removesuffix(" ms"))]
    assert list(context.observed.values()) == wanted, context.observed
