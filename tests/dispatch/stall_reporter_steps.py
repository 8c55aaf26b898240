"""Steps about the report of workflows whose attempts do not run."""

import contextlib
import dataclasses
import unittest.mock

import trio
from behave import given
from behave import then
from behave import when

from radishlanding.dispatch.stall_reporter import StallReporter
from radishlanding.dispatch.start_monitor import StartMonitor
from radishlanding.message import RunningTask
from radishlanding.message import TaskEndReport
from radishlanding.message import VmReport
from radishlanding.observe import Counters
from radishlanding.policy import WorkflowPlanner
from radishlanding.vm import clock_ms
from radishlanding.workflow import Assignment
from radishlanding.workflow import EndKind
from radishlanding.workflow import LogEntry
from radishlanding.workflow import Step
from tests.dispatch.leader_steps import send_report
from tests.dispatch.wait_reporter_steps import add_vm
from tests.dispatch.wait_reporter_steps import make_fleet
from tests.standin.log_lines import captured_lines
from tests.workflow.workflow_steps import make_workflow
from tests.workflow.workflow_steps import NEEDS

# That of the leader.
TICK_S = 0.25
TICKS_PER_REPORT = 4
# Well within the leases of the leader's fixture.
REPORT_INTERVAL_S = 0.1
STANDING = "f" * 16
CLOCKS = [
    f"radishlanding.dispatch.{name}.boot_clock_s"
    for name in ("start_monitor", "stall_reporter")
]


def _apply(context, **changes):
    entry = LogEntry(commit_id="c", made_ms=1, **changes)
    context.registry.apply(entry)


def _name(number):
    return f"{number + 1:016x}"


def _open(context, count):
    make_fleet(context)
    add_vm(context, "v1", "free")
    add_vm(context, "v2", "free")
    context.now_s = 100.0
    context.ticks = 0
    context.lines = []
    context.counters = Counters()
    context.monitor = StartMonitor(
        registry=context.registry, fleet=context.fleet
    )
    context.reporter = StallReporter(
        registry=context.registry,
        monitor=context.monitor,
        counters=context.counters,
    )
    step = Step(count=5, needs=NEEDS)
    names = [_name(number) for number in range(count)]
    _apply(
        context,
        accepted=[make_workflow([step], name=name) for name in names],
    )
    _assign(context, {f"{name}.0.0.0": "v1" for name in names})


def _assign(context, vms, attempt=1):
    _apply(
        context,
        assignments=[
            Assignment(task_id=task_id, attempt=attempt, vm=vm, boot="b")
            for task_id, vm in vms.items()
        ],
    )


@given("a workflow with an attempt on v1")
def _one(context):
    _open(context, 1)


@given("{count:d} workflows with an attempt on v1 each")
def _many(context, count):
    _open(context, count)


@given("a standing workflow with attempts on v1 and v2")
def _standing(context):
    step = Step(count=2, needs=NEEDS, standing=True)
    _apply(context, accepted=[make_workflow([step], name=STANDING)])
    _assign(context, {f"{STANDING}.0.0.0": "v1", f"{STANDING}.0.0.1": "v2"})


def _running(context, vm, **fields):
    return [
        RunningTask(task_id=task.task_id, attempt=task.attempt, **fields)
        for task in context.registry.tasks_on(vm)
    ]


def _report(context, vm, *, running=(), ended=(), is_silent=False):
    session = context.fleet.sessions[vm]
    report = VmReport(
        vm=vm,
        is_full=False,
        clock_ms=int(context.now_s * 1000),
        state=dataclasses.replace(session.state, is_silent=is_silent),
        running=list(running),
        ended=list(ended),
    )
    ends = context.fleet.update(session, report)
    context.monitor.observe(session, ends)
    return ends


@contextlib.contextmanager
def _clock(context):
    with contextlib.ExitStack() as stack:
        for name in CLOCKS:
            patch = unittest.mock.patch(name, lambda: context.now_s)
            stack.enter_context(patch)
        yield


def _pass(context, length_s, report):
    """Let time pass, with reports each second and the ticks of the leader."""
    with _clock(context), captured_lines("radishlanding.dispatch") as lines:
        for _ in range(int(length_s / TICK_S)):
            if context.ticks % TICKS_PER_REPORT == 0:
                report()
            context.monitor.update()
            context.reporter.report()
            context.ticks += 1
            context.now_s += TICK_S
        # What the last tick shows.
        context.monitor.update()
        context.reporter.report()
    context.lines += lines


def _reports(context, state):
    """Return the callable that reports a state of v1."""
    if state == "v1 does not follow":
        context.fleet.sessions.pop("v1", None)
        return lambda: None
    if state == "v1 lists no attempt":
        return lambda: _report(context, "v1")
    if state == "v1 lists an earlier attempt":
        _assign(context, {f"{_name(0)}.0.0.0": "v1"}, attempt=2)
        earlier = RunningTask(task_id=f"{_name(0)}.0.0.0", attempt=1)
        return lambda: _report(context, "v1", running=[earlier])
    fields = {"is_unconfirmed": state.endswith("as unconfirmed")}
    if state.endswith("without saying it"):
        fields = {}
    return lambda: _report(
        context,
        "v1",
        running=_running(context, "v1", **fields),
        is_silent=state == "v1 is silent",
    )


@when("for {length_s:g} s v1 {state}")
def _passes(context, length_s, state):
    _pass(context, length_s, _reports(context, f"v1 {state}"))


@when("{times:d} times, v1 {state} for {length_s:g} s and ends it as {kind:w}")
def _passes_again(context, times, state, length_s, kind):
    task_id = f"{_name(0)}.0.0.0"
    for attempt in range(1, times + 1):
        _pass(context, length_s, _reports(context, f"v1 {state}"))
        end = TaskEndReport(
            task_id=task_id, attempt=attempt, kind=EndKind(kind)
        )
        ends = _report(context, "v1", ended=[end])
        _apply(context, ends=ends)
        _assign(context, {task_id: "v1"}, attempt=attempt + 1)


@when("{count:d} more tasks of it are assigned to v2")
def _more(context, count):
    first = 1 + len(context.registry.tasks_on("v2"))
    indexes = range(first, first + count)
    _assign(context, {f"{_name(0)}.0.0.{index}": "v2" for index in indexes})


@when("v1 lists all its attempts and v2 lists none for {length_s:g} s")
def _v2_lists_none(context, length_s):
    def report():
        _report(context, "v1", running=_running(context, "v1"))
        _report(context, "v2")

    _assign(context, {f"{_name(0)}.0.0.1": "v2"})
    _pass(context, length_s, report)


@when("the stalled workflow is cancelled")
def _cancelled(context):
    _apply(context, cancelled=[_name(0)])


def _events(context, event):
    return [
        dict(pair.split("=", 1) for pair in line.split())
        for line in context.lines
        if f"event={event} " in line
    ]


@then("{count:d} stalls are reported, with states={states:w}")
def _stalls(context, count, states):
    found = _events(context, "workflow_stalled")
    assert len(found) == count, context.lines
    assert all(item["states"] == states for item in found), found
    assert all(item["workflow"] == _name(0) for item in found), found


@then("a stall of attempts={count} names v2, v2 and v1 with their ages")
def _names_three(context, count):
    (found,) = _events(context, "workflow_stalled")
    tasks = [f"{_name(0)}.0.0.{key}" for key in ("1#1", "2#1", "0#2")]
    assert found["attempts"] == count, found
    assert found["tasks"] == ",".join(tasks), found
    assert found["vms"] == "v2,v2,v1", found
    assert found["ages_ms"] == "2500,2500,1500", found
    assert found["stalled_ms"] == "2500", found


@then("only the standing workflow is reported, with the attempt on v2")
def _only_standing(context):
    (found,) = _events(context, "workflow_stalled")
    assert found["tasks"] == f"{STANDING}.0.0.1#1", found
    assert (found["vms"], found["attempts"]) == ("v2", "2"), found


@then("one line says that it has resumed after {stalled_ms:w} ms")
def _resumed(context, stalled_ms):
    (found,) = _events(context, "workflow_resumed")
    assert found["workflow"] == _name(0), found
    assert found["stalled_ms"] == stalled_ms, found


@then("no line says that it has resumed")
def _not_resumed(context):
    assert not _events(context, "workflow_resumed"), context.lines


@then("workflows_stalled is {count:d}")
def _counted(context, count):
    found = context.counters.get("workflows_stalled")
    assert found == count, found


@then("{count:d} stalls of {stalled} are reported")
def _few_stalls(context, count, stalled):
    found = _events(context, "workflow_stalled")
    assert len(found) == count, found
    assert all(item["stalled"] == stalled for item in found), found


@then("{count:d} lines say that a workflow has resumed")
def _few_resumed(context, count):
    found = _events(context, "workflow_resumed")
    assert len(found) == count, found


@then("the monitor holds nothing")
def _holds_nothing(context):
    monitor = context.monitor
    assert not monitor._confirmed, monitor._confirmed
    assert not monitor._assigned_s, monitor._assigned_s
    assert not monitor._waiting, monitor._waiting
    assert not monitor.stalled_ms(), monitor.stalled_ms()


@when("vm1 reports its orders as {state:w} for {length_s:g} s")
def _reports_orders(context, state, length_s):
    with captured_lines("radishlanding.dispatch") as context.lines:
        context.bridge.call(
            _report_orders, context, state == "unconfirmed", length_s
        )


async def _report_orders(context, is_unconfirmed, length_s):
    with trio.move_on_after(length_s):
        while True:
            running = [
                RunningTask(
                    task_id=order.task_id,
                    attempt=order.attempt,
                    is_unconfirmed=is_unconfirmed,
                )
                for order in context.agents["vm1"].started
            ]
            await send_report(
                context, "vm1", running=running, made_ms=clock_ms()
            )
            await trio.sleep(REPORT_INTERVAL_S)


@then("the leader has logged {event:w} with {pair}")
def _has_logged(context, event, pair):
    key, value = pair.split("=")
    found = _events(context, event)
    assert [item[key] for item in found] == [value], context.lines


@then(
    "the planner learns within {within_s:d} s that it has waited {wait_s:g} s "
    "for {vm:w}"
)
def _planner_learns(context, within_s, wait_s, vm):
    with unittest.mock.patch.object(WorkflowPlanner, "use_stalls") as use:
        context.bridge.call(_report_orders, context, True, within_s)
    stalls = [
        stall for call in use.call_args_list for stall in call[0][0].values()
    ]
    assert any(
        stall.stalled_ms >= wait_s * 1000 and stall.vms == {vm}
        for stall in stalls
    ), stalls
