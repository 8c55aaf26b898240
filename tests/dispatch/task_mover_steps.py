"""Steps about the moves that a leader makes."""

import types
import unittest.mock

from behave import given
from behave import then
from behave import when

from radishlanding.config import Site
from radishlanding.dispatch import move_candidates
from radishlanding.dispatch.fleet import Fleet
from radishlanding.dispatch.task_mover import TaskMover
from radishlanding.message import RunningTask
from radishlanding.message import VmHello
from radishlanding.message import VmState
from radishlanding.observe import Counters
from radishlanding.policy import CallerEstimates
from radishlanding.policy import EarliestDeadline
from radishlanding.policy import Interference
from radishlanding.policy import WorkflowPlanner
from radishlanding.vm import Capacity
from radishlanding.vm import LeaseTiming
from radishlanding.workflow import Assignment
from radishlanding.workflow import EndKind
from radishlanding.workflow import LogEntry
from radishlanding.workflow import Step
from radishlanding.workflow import TaskEnd
from radishlanding.workflow import WorkflowRegistry
from tests.workflow.workflow_steps import make_workflow
from tests.workflow.workflow_steps import NAME
from tests.workflow.workflow_steps import NEEDS

TASK = f"{NAME}.0.0.0"
CAPACITY = Capacity(millicores=64_000, memory_mb=64_000)


class FakeOrderSender:
    """Keeps the tasks that were stopped, whose stops are not answered."""

    __slots__ = ("stopped",)

    def __init__(self):
        """Start without tasks."""
        self.stopped = []

    def stop(self, session, tasks):
        """Keep the tasks."""
        self.stopped += tasks


def _open(context, vm):
    state = VmState(boot="1", zone="z0", pool="order-desk", capacity=CAPACITY)
    hello = VmHello(vm=vm, epoch=0, clock_ms=1, state=state)
    context.fleet.open_session(hello, object())
    context.fleet.sessions[vm].has_full_report = True


def _round(context, *, is_stuck):
    """Let a second pass, and have the moves made."""
    context.now_s += 1.0
    item = RunningTask(
        task_id=TASK,
        attempt=1,
        progress=5,
        full_pace_ms=100,
        pace_percent=5,
        is_stuck=is_stuck,
    )
    context.fleet.sessions["a"].running = {TASK: item}
    with unittest.mock.patch.object(
        move_candidates, "boot_clock_s", lambda: context.now_s
    ):
        context.mover.rebalance()


@given("a best-effort task that a VM has slowed down for {period_s:d} s")
def _slowed(context, period_s):
    context.counters, context.registry = Counters(), WorkflowRegistry()
    context.now_s, context.sender = 100.0, FakeOrderSender()
    interference = Interference()
    context.fleet = Fleet(
        registry=context.registry,
        epoch=1,
        timing=LeaseTiming(vm_lease_s=60.0, owner_grace_s=3.0, drift_s=0.1),
        interference=interference,
    )
    context.mover = TaskMover(
        registry=context.registry,
        fleet=context.fleet,
        order_sender=context.sender,
        planner=WorkflowPlanner(
            order=EarliestDeadline(), interference=interference
        ),
        ranker=types.SimpleNamespace(rank_of=lambda _task_id: 1),
        run_times=CallerEstimates(),
        interference=interference,
        site_watch=types.SimpleNamespace(site=Site(version=1)),
        counters=context.counters,
    )
    step = Step(
        count=1,
        needs=NEEDS,
        fills=True,
        checkpointing=True,
        estimated_ms=4000,
    )
    assignment = Assignment(task_id=TASK, attempt=1, vm="a", boot="1")
    context.registry.apply(
        LogEntry(
            commit_id="c",
            made_ms=1,
            accepted=[make_workflow([step])],
            assignments=[assignment],
        )
    )
    _open(context, "a")
    for _ in range(period_s):
        _round(context, is_stuck=False)
    assert not context.sender.stopped


@when(
    "another VM is free, and the task is stuck in rounds {stuck} of {count:d}"
)
def _rounds(context, stuck, count):
    _open(context, "b")
    for number in range(count):
        _round(context, is_stuck=str(number + 1) in stuck.split())


@then("it is stopped once, as {reason:w}")
def _stopped(context, reason):
    moves = {
        name: context.counters.get(f"moves_{name}")
        for name in ("stuck", "slowed")
    }
    assert moves == {"stuck": 0, "slowed": 0} | {reason: 1}, moves
    assert [task.task_id for task in context.sender.stopped] == [TASK]


@when("its workflow ends")
def _ends(context):
    end = TaskEnd(task_id=TASK, attempt=1, kind=EndKind.DONE)
    context.registry.apply(LogEntry(commit_id="c", made_ms=1, ends=[end]))
    context.fleet.sessions["a"].running = {}
    context.mover.rebalance()


@then("nothing is held of the task")
def _nothing_held(context):
    # The sets of moves have no other trace than the memory that they take.
    mitigation = context.mover._straggler_mitigation
    assert not mitigation._moved and not context.mover._stuck_attempts
