"""Steps for what a leader learns from the reports of VMs."""

import time
import types
import unittest.mock

import trio
from behave import given
from behave import then
from behave import when

from radishlanding.config import Site
from radishlanding.dispatch.fleet import Fleet
from radishlanding.dispatch.order_sender import OrderSender
from radishlanding.dispatch.run_time_monitor import RunTimeMonitor
from radishlanding.dispatch.run_time_store import RunTimeStore
from radishlanding.dispatch.task_ranker import TaskRanker
from radishlanding.dispatcher import program
from radishlanding.message import RunningTask
from radishlanding.message import TaskEndReport
from radishlanding.message import VmHello
from radishlanding.message import VmReport
from radishlanding.message import VmState
from radishlanding.observe import Counters
from radishlanding.policy import EarliestDeadline
from radishlanding.policy import Interference
from radishlanding.policy import LearnedRunTimes
from radishlanding.policy import VmTrust
from radishlanding.policy import WorkflowPlanner
from radishlanding.settings import DispatcherSettings
from radishlanding.store import StoreUnavailable
from radishlanding.vm import Capacity
from radishlanding.vm import LeaseTiming
from radishlanding.workflow import Assignment
from radishlanding.workflow import EndKind
from radishlanding.workflow import LogEntry
from radishlanding.workflow import Step
from radishlanding.workflow import TaskEnd
from radishlanding.workflow import WorkflowRegistry
from tests.policy.vm_trust_steps import rating_of
from tests.standin.log_lines import captured_lines
from tests.workflow.workflow_steps import make_workflow
from tests.workflow.workflow_steps import NEEDS

NAME = "0123456789abcdef"
TASKS_PER_VM = 2
CAPACITY = Capacity(millicores=64_000, memory_mb=64_000)
# The least of several runs is the one that other processes disturbed least.
RUNS = 5


def _open(context, vm, boot=1):
    state = VmState(
        boot=f"{boot}", zone="z0", pool="order-desk", capacity=CAPACITY
    )
    hello = VmHello(vm=vm, epoch=0, clock_ms=1, state=state)
    context.fleet.open_session(hello, object())
    context.fleet.sessions[vm].has_full_report = True


@given(
    "a fleet of {vms:d} VMs that run a step of {tasks:d} tasks of 4 s, "
    "estimated at 10 s"
)
def _fleet(context, vms, tasks, inherited_leases_s=None):
    context.counters, context.registry = Counters(), WorkflowRegistry()
    context.run_times, trust = LearnedRunTimes(), VmTrust()
    context.monitor = RunTimeMonitor(
        registry=context.registry,
        run_times=context.run_times,
        vm_trust=trust,
        counters=context.counters,
    )
    context.fleet = Fleet(
        registry=context.registry,
        epoch=1,
        timing=LeaseTiming(vm_lease_s=6.0, owner_grace_s=3.0, drift_s=0.1),
        interference=Interference(),
        run_time_monitor=context.monitor,
        vm_trust=trust,
        counters=context.counters,
        inherited_leases_s=inherited_leases_s,
    )
    context.vms = [f"vm{number}" for number in range(vms)]
    step = Step(count=tasks, needs=NEEDS, estimated_ms=10_000)
    assignments = [
        Assignment(
            task_id=f"{NAME}.0.0.{index}",
            attempt=1,
            vm=context.vms[index // TASKS_PER_VM],
            boot="1",
        )
        for index in range(tasks)
    ]
    context.registry.apply(
        LogEntry(
            commit_id="c",
            made_ms=1,
            accepted=[make_workflow([step], name=NAME)],
            assignments=assignments,
        )
    )
    for vm in context.vms:
        _open(context, vm)


def _running(index, full_pace_ms, progress, pace=100, **fields):
    return RunningTask(
        task_id=f"{NAME}.0.0.{index}",
        attempt=1,
        progress=progress,
        full_pace_ms=full_pace_ms,
        pace_percent=pace,
        **fields,
    )


def _report(context, vm, running=(), ended=()):
    session = context.fleet.sessions[vm]
    context.fleet.update(
        session,
        VmReport(
            vm=vm,
            is_full=False,
            clock_ms=2,
            state=session.state,
            running=list(running),
            ended=list(ended),
        ),
    )


@when("a task reports {reports} and ends {end}")
def _reports(context, reports, end):
    for pair in reports.split(", "):
        if pair == "new":
            _open(context, "vm0")
            continue
        _report(context, "vm0", [_running(0, *map(int, pair.split(":")), 50)])
    if end != "not":
        kind, full_pace_ms = end.split(", ")
        report = TaskEndReport(
            task_id=f"{NAME}.0.0.0",
            attempt=1,
            kind=EndKind(kind),
            full_pace_ms=int(full_pace_ms),
        )
        for _ in range(3):
            # It is reported until it is settled, and counts once.
            _report(context, "vm0", ended=[report])


@then(
    "a task of its step is ordered with {order_ms:d} ms within {percent:d} %, "
    "by {samples:d} samples"
)
def _ordered(context, order_ms, percent, samples):
    sender = OrderSender(
        registry=context.registry,
        fleet=context.fleet,
        epoch=1,
        counters=context.counters,
        gate=None,
        site_watch=None,
        run_times=context.run_times,
    )
    _report(context, "vm0", [_running(1, 0, 0, lacks_order=True)])
    (order,) = sender.missing_orders(context.fleet.sessions["vm0"])
    assert abs(order.estimated_ms / order_ms - 1) <= percent / 100, order
    assert context.counters.get("run_time_samples") == samples


def _run(context, pace):
    """Report all tasks, those of vm0 at a quarter of the speed.

    :param pace: Pace of the tasks of vm0, in percent.
    """
    for progress in (4, 20, 40):
        for number, vm in reversed(list(enumerate(context.vms))):
            factor, vm_pace = (4, pace) if vm == "vm0" else (1, 100)
            first = number * TASKS_PER_VM
            tasks = [
                _running(index, 40 * progress * factor, progress, vm_pace)
                for index in range(first, first + TASKS_PER_VM)
            ]
            _report(context, vm, tasks)


def _end(context, vms, kind, count):
    for number in range(count):
        for vm in vms:
            task_id = f"{number:016x}.0.0.0"
            end = TaskEnd(task_id=task_id, attempt=1, kind=kind)
            context.fleet.record_end(end, vm)


def _start_again(context, vms, times):
    for boot in range(2, 2 + times):
        for vm in vms:
            _open(context, vm, boot)


def _lose(context, vm):
    """Lose a VM whose tasks get no recorded end before it is back."""
    vms = len(context.vms)
    _fleet(context, vms, vms * TASKS_PER_VM, {vm: 0.0})
    for _ in range(5):
        assert len(context.fleet.lost_vm_ends()) == TASKS_PER_VM
    _open(context, vm, boot=2)


HISTORIES = {
    "runs at a quarter of the speed": lambda ctx: _run(ctx, 100),
    "runs at a quarter of the speed, paced": lambda ctx: _run(ctx, 40),
    "fails tasks of 2 workflows": lambda ctx: _end(
        ctx, ["vm0"], EndKind.FAILED, 2
    ),
    "fails tasks of 2 workflows that fail on vm1": lambda ctx: _end(
        ctx, ["vm1", "vm0"], EndKind.FAILED, 2
    ),
    "starts again twice": lambda ctx: _start_again(ctx, ["vm0"], 2),
    "starts again together with all others": lambda ctx: _start_again(
        ctx, ctx.vms, 2
    ),
    "is lost once, which is recorded late": lambda ctx: _lose(ctx, "vm0"),
}


@when("one of the VMs {history}")
def _history(context, history):
    HISTORIES[history](context)


@then("it is {rating:w}, and the others are trusted")
def _rated(context, rating):
    loads = context.fleet.loads(Site(version=1), with_stuck=True)
    ratings = {load.vm: rating_of(load.trust) for load in loads}
    assert ratings.pop("vm0") == rating, ratings
    assert set(ratings.values()) == {"trusted"}, ratings


@when("it finishes {count:d} tasks")
def _finishes(context, count):
    _end(context, ["vm0"], EndKind.DONE, count)


@then("{times:d} reviews log and count one {event:w}")
def _reviewed(context, times, event):
    with captured_lines("radishlanding.dispatch") as lines:
        for _ in range(times):
            context.fleet.prune_ended()
    (line,) = [line for line in lines if "event=vm_" in line]
    assert f"event={event}" in line and "vm=vm0" in line, line
    counter = event.replace("vm_", "vms_")
    assert context.counters.get(counter) == 1


class FakeStore:
    """Holds one value, and answers or not."""

    __slots__ = ("is_unavailable", "value", "writes")

    async def get(self, key):
        """Return the value."""
        return types.SimpleNamespace(value=self.value)

    async def put(self, write):
        """Store the value of a write, as the leader's log does."""
        if self.is_unavailable:
            raise StoreUnavailable("no answer", was_sent=True)
        self.value = write.value
        self.writes += 1


@when(
    "it is saved to a store that is unavailable at first, and {times:d} times "
    "later"
)
def _saved(context, times):
    context.store = FakeStore()
    context.store.is_unavailable, context.store.writes = True, 0
    saver = RunTimeStore(run_times=context.run_times, counters=Counters())
    context.run_times.observe(
        make_workflow([Step(count=1, needs=NEEDS)]), 0, run_ms=1, weight=1
    )
    trio.run(saver.save, context.store)
    context.store.is_unavailable = False
    for _ in range(times):
        trio.run(saver.save, context.store)


def _load(context):
    run_times = LearnedRunTimes()
    loader = RunTimeStore(run_times=run_times, counters=Counters())
    trio.run(loader.load, context.store)
    return run_times.rows()


@then("the store was written once, and another process loads the same rows")
def _loaded(context):
    assert context.store.writes == 1
    assert _load(context) == context.run_times.rows() != []


@then("another process goes on without a damaged value")
def _damaged(context):
    context.store.value = context.store.value[:-3]
    assert _load(context) == []


@when("attempt {attempt:d} of task {task} is reported at 3, 40 and 80 %")
def _report_unknown(context, attempt, task):
    for progress in (3, 40, 80):
        item = RunningTask(
            task_id=f"{NAME}.{task}",
            attempt=attempt,
            progress=progress,
            full_pace_ms=40 * progress,
            pace_percent=100,
        )
        _report(context, "vm0", [item])


@then("it gives no samples, and best-effort tasks are ranked")
def _passed_over(context):
    assert context.counters.get("run_time_samples") == 0
    planner = WorkflowPlanner(
        order=EarliestDeadline(), interference=Interference()
    )
    ranker = TaskRanker(
        registry=context.registry,
        fleet=context.fleet,
        planner=planner,
        run_times=context.run_times,
        counters=context.counters,
    )
    ranker.rank()
    assert context.counters.get("precedence_rounds") == 1


def _learn(run_times, run_s):
    workflow = make_workflow([Step(count=1, needs=NEEDS)], name=NAME)
    run_times.observe(workflow, 0, run_ms=1000 * run_s, weight=1)


def _expected_s(run_times):
    workflow = make_workflow([Step(count=1, needs=NEEDS)], name=NAME)
    return round(run_times.estimate(workflow, 0).run_ms / 1000, 3)


@when(
    "a dispatcher leads, learns that a task runs for {run_s:d} s, and leads "
    "again"
)
def _lead_again(context, run_s):
    address = "127.0.0.1:1"
    cfg = DispatcherSettings(
        id="d",
        zone="z0",
        store=address,
        http_listen=address,
        ready_listen=address,
        peer_listen=address,
        overload_control=True,
    )
    patch = unittest.mock.patch.object
    with (
        patch(program, "Candidate") as candidate,
        patch(program, "Leader") as leader,
        patch(program, "CompletionOrder") as order,
    ):
        program.DispatcherProgram(cfg=cfg)
        make_leader = candidate.call_args.kwargs["make_leader"]
        for _ in range(2):
            make_leader(log=None, registry=None)
        first, context.run_times = (
            call.kwargs["run_times"] for call in leader.call_args_list
        )
        _learn(order.call_args_list[0].kwargs["run_times"], run_s)
        assert _expected_s(first) == run_s
        context.of_order = order.call_args.kwargs["run_times"]


@when("the store has learned {run_s:d} s since")
def _learned_since(context, run_s):
    others = LearnedRunTimes()
    _learn(others, run_s)
    context.run_times.restore(others.rows())


@then("its leader and its order both expect {run_s:d} s")
def _both_expect(context, run_s):
    found = _expected_s(context.run_times), _expected_s(context.of_order)
    assert found == (run_s, run_s), found


def _cost_us(vms):
    """Return the least processor time of one report, in microseconds."""
    site = types.SimpleNamespace()
    _fleet(site, vms, vms * TASKS_PER_VM)
    took_ns = []
    for number in range(RUNS):
        for first, session in enumerate(site.fleet.sessions.values()):
            session.running = {
                f"{NAME}.0.0.{index}": _running(
                    index, 1 + 600 * number, 15 * number
                )
                for index in range(2 * first, 2 * first + TASKS_PER_VM)
            }
        began_ns = time.process_time_ns()
        for session in site.fleet.sessions.values():
            site.monitor.observe(session)
        took_ns.append(time.process_time_ns() - began_ns)
    # The first reports give no samples.
    assert site.counters.get("run_time_samples") == 4 * vms * TASKS_PER_VM
    return min(took_ns[1:]) / 1000 / vms


@then(
    "a report costs at {large:d} VMs at most {ratio:d} times as much as at "
    "{small:d}"
)
def _cost(context, large, ratio, small):
    costs = [min(_cost_us(vms) for _ in range(RUNS)) for vms in (small, large)]
    assert costs[1] <= ratio * costs[0], costs
