"""Steps for run times that are measured from the reports of VMs."""

import time
import types

import trio
from behave import given
from behave import then
from behave import when

from radishlanding.dispatch.fleet import Fleet
from radishlanding.dispatch.order_sender import OrderSender
from radishlanding.dispatch.run_time_monitor import RunTimeMonitor
from radishlanding.dispatch.run_time_store import RunTimeStore
from radishlanding.message import RunningTask
from radishlanding.message import TaskEndReport
from radishlanding.message import VmHello
from radishlanding.message import VmReport
from radishlanding.message import VmState
from radishlanding.observe import Counters
from radishlanding.policy import Interference
from radishlanding.policy import LearnedRunTimes
from radishlanding.policy import RunTimeRow
from radishlanding.policy import VmTrust
from radishlanding.store import StoreUnavailable
from radishlanding.vm import LeaseTiming
from radishlanding.workflow import Assignment
from radishlanding.workflow import EndKind
from radishlanding.workflow import LogEntry
from radishlanding.workflow import Step
from radishlanding.workflow import WorkflowRegistry
from tests.workflow.workflow_steps import make_workflow
from tests.workflow.workflow_steps import NEEDS

NAME = "0123456789abcdef"
VM, BOOT = "vm1", "b"
STATE = VmState(boot=BOOT, zone="z0", pool="order-desk")
TASKS_PER_VM = 7
# The least of several runs is the one that other processes disturbed least.
RUNS = 5


def _set_up(context):
    context.registry = WorkflowRegistry()
    context.counters = Counters()
    context.run_times = LearnedRunTimes()
    context.fleet = Fleet(
        registry=context.registry,
        epoch=1,
        timing=LeaseTiming(vm_lease_s=6.0, owner_grace_s=3.0, drift_s=0.1),
        interference=Interference(),
        run_time_monitor=RunTimeMonitor(
            registry=context.registry,
            run_times=context.run_times,
            vm_trust=VmTrust(),
            counters=context.counters,
        ),
    )
    context.sender = OrderSender(
        registry=context.registry,
        fleet=context.fleet,
        epoch=1,
        counters=context.counters,
        gate=None,
        site_watch=None,
        run_times=context.run_times,
    )


def _open(context, vm, conn):
    hello = VmHello(vm=vm, epoch=0, clock_ms=1, state=STATE)
    context.fleet.open_session(hello, conn)
    return context.fleet.sessions[vm]


def _assign(context, tasks):
    """Accept a workflow and assign its tasks.

    :param tasks: VM of each task.
    """
    step = Step(count=len(tasks), needs=NEEDS, estimated_ms=context.caller_ms)
    context.registry.apply(
        LogEntry(
            commit_id="c",
            made_ms=1,
            accepted=[make_workflow([step], name=NAME)],
            assignments=[
                Assignment(
                    task_id=f"{NAME}.0.0.{index}", attempt=1, vm=vm, boot=BOOT
                )
                for index, vm in enumerate(tasks)
            ],
        )
    )


@given("VMs that run tasks of a step whose caller estimates {run_s:d} s")
def _vms(context, run_s):
    _set_up(context)
    context.caller_ms = run_s * 1000
    context.session = _open(context, VM, object())
    _assign(context, [VM, VM])


def _report(context, session, running=(), ended=()):
    return context.fleet.update(
        session,
        VmReport(
            vm=session.vm,
            is_full=False,
            clock_ms=2,
            state=STATE,
            running=list(running),
            ended=list(ended),
        ),
    )


@when("a task reports {reports} and ends {end}")
def _reports(context, reports, end):
    for pair in reports.split(", "):
        spent_ms, progress = map(int, pair.split(":"))
        item = RunningTask(
            task_id=f"{NAME}.0.0.0",
            attempt=1,
            progress=progress,
            full_pace_ms=spent_ms,
            pace_percent=50,
        )
        _report(context, context.session, [item])
    if end != "not":
        kind, spent_ms = end.split(", ")
        context.end = TaskEndReport(
            task_id=f"{NAME}.0.0.0",
            attempt=1,
            kind=EndKind(kind),
            full_pace_ms=int(spent_ms),
        )
        _report(context, context.session, ended=[context.end])


@when("its end is reported {times:d} more times")
def _reported_again(context, times):
    for _ in range(times):
        _report(context, context.session, ended=[context.end])


@when("its agent connects again")
def _connects_again(context):
    context.session = _open(context, VM, object())


@then("{count:d} samples are counted")
def _samples(context, count):
    assert context.counters.get("run_time_samples") == count


@then(
    "a later task of the step is ordered with {estimate_ms:d} ms within "
    "{percent:d} %"
)
def _ordered(context, estimate_ms, percent):
    item = RunningTask(task_id=f"{NAME}.0.0.1", attempt=1, lacks_order=True)
    _report(context, context.session, [item])
    (order,) = context.sender.missing_orders(context.session)
    found = order.estimated_ms / estimate_ms
    assert abs(found - 1) <= percent / 100, order.estimated_ms


class FakeStore:
    """Holds one value, and answers or not."""

    __slots__ = ("is_unavailable", "value", "writes")

    def __init__(self):
        self.is_unavailable = False
        self.value = None
        self.writes = 0

    async def get(self, key):
        """Return the value."""
        assert key == "workflows/run_times"
        return types.SimpleNamespace(value=self.value) if self.value else None

    async def put(self, write):
        """Store the value of a write, as the leader's log does."""
        if self.is_unavailable:
            raise StoreUnavailable("no answer", was_sent=True)
        assert write.key == "workflows/run_times"
        self.value = write.value
        self.writes += 1


@given("a store and a process that has learned run times")
def _learned(context):
    context.counters = Counters()
    context.store, context.run_times = FakeStore(), LearnedRunTimes()
    context.saver = RunTimeStore(
        run_times=context.run_times, counters=context.counters
    )
    _learn(context)


def _learn(context):
    step = Step(count=1, needs=NEEDS, estimated_ms=4000, image="render")
    context.run_times.observe(make_workflow([step]), 0, run_ms=9000, weight=1)


def _load(context):
    other = LearnedRunTimes()
    loader = RunTimeStore(run_times=other, counters=context.counters)
    trio.run(loader.load, context.store)
    return other


@when("it saves them and another process loads them")
def _saved(context):
    trio.run(context.saver.save, context.store)
    context.other = _load(context)


@then("both know the same rows")
def _same_rows(context):
    rows = context.run_times.rows()
    assert context.other.rows() == rows and len(rows) == 3
    assert all(isinstance(row, RunTimeRow) for row in rows)


@when("the store is unavailable as it saves them")
def _unsaved(context):
    _learn(context)
    context.store.is_unavailable = True
    trio.run(context.saver.save, context.store)
    context.store.is_unavailable = False


@then("it saves them later, and nothing twice")
def _saved_later(context):
    for _ in range(3):
        trio.run(context.saver.save, context.store)
    assert context.store.writes == 2, context.store.writes
    assert _load(context).rows() == context.run_times.rows()


@when("the value in the store is damaged")
def _damaged(context):
    context.store.value = context.store.value[:-3]


@then("another process goes on without it")
def _nothing_loaded(context):
    assert _load(context).rows() == []


@given(
    "sites of {small:d} and {large:d} VMs, each with {count:d} running tasks"
)
def _sites(context, small, large, count):
    assert count == TASKS_PER_VM
    context.sizes = small, large


@when("each VM reports {times:d} times")
def _each_reports(context, times):
    context.costs = [
        min(_cost_us(size, times) for _ in range(RUNS))
        for size in context.sizes
    ]


def _cost_us(size, times):
    """Return the processor time of the monitor for one report."""
    site = types.SimpleNamespace(caller_ms=4000)
    _set_up(site)
    vms = [f"vm{number}" for number in range(size)]
    _assign(site, [vm for vm in vms for _ in range(TASKS_PER_VM)])
    sessions = [_open(site, vm, object()) for vm in vms]
    monitor = RunTimeMonitor(
        registry=site.registry,
        run_times=site.run_times,
        vm_trust=VmTrust(),
        counters=site.counters,
    )
    took_ns = 0
    for time_number in range(times):
        for number, session in enumerate(sessions):
            first = number * TASKS_PER_VM
            session.running = {
                f"{NAME}.0.0.{index}": RunningTask(
                    task_id=f"{NAME}.0.0.{index}",
                    attempt=1,
                    progress=5 + 12 * time_number,
                    full_pace_ms=200 + 480 * time_number,
                    pace_percent=100,
                )
                for index in range(first, first + TASKS_PER_VM)
            }
            began_ns = time.process_time_ns()
            monitor.observe(session)
            took_ns += time.process_time_ns() - began_ns
    assert site.counters.get("run_time_samples")
    return took_ns / 1000 / size / times


@then(
    "one report costs at {large:d} VMs at most {ratio:g} times as much as at "
    "{small:d}"
)
def _cost_ratio(context, large, ratio, small):
    found = context.costs[1] / context.costs[0]
    assert found <= ratio, context.costs
