"""Steps about the moves of slowed tasks."""

import copy
import dataclasses

from behave import given
from behave import then
from behave import when

from radishlanding.policy import Interference
from radishlanding.policy import Migration
from radishlanding.policy import MovableTask
from radishlanding.policy import StepProgress
from radishlanding.policy import VmLoad
from radishlanding.vm import Capacity
from radishlanding.workflow import Step
from radishlanding.workflow import TaskRecord
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
    migration = Migration(
        interference=context.interference, min_idle_share=0.6
    )
    context.moved = []
    for _ in range(rounds):
        loads = copy.deepcopy(context.loads)
        tasks = [
            dataclasses.replace(task, load=loads[0]) for task in context.tasks
        ]
        context.moved += migration.choose(tasks, loads)


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


@then("a task of the step runs for {run_s:g} s, and z for {own_s:g} s")
def _run_times(context, run_s, own_s):
    found = (
        context.progress.step_run_ms(f"{NAME}.0.0"),
        context.progress.own_run_ms(f"{NAME}.0.0.z"),
    )
    assert found == (1000 * run_s, 1000 * own_s), found
