"""Steps about the stages of a recovery."""

import types
import unittest.mock

from behave import given
from behave import then
from behave import when

from radishlanding.dispatch.recovery_monitor import RecoveryMonitor
from radishlanding.observe import Counters
from radishlanding.workflow import Assignment
from radishlanding.workflow import EndKind
from radishlanding.workflow import LogEntry
from radishlanding.workflow import Step
from radishlanding.workflow import TaskEnd
from radishlanding.workflow import WorkflowRegistry
from tests.standin.log_lines import captured_lines
from tests.workflow.workflow_steps import make_workflow
from tests.workflow.workflow_steps import NAME
from tests.workflow.workflow_steps import NEEDS

CLOCK = "radishlanding.dispatch.recovery_monitor.boot_clock_s"


def _apply(context, **changes):
    context.registry.apply(LogEntry(commit_id="c", made_ms=1, **changes))


def _assign(context, tasks, attempt, boot):
    _apply(
        context,
        assignments=[
            Assignment(task_id=task_id, attempt=attempt, vm=vm, boot=boot)
            for task_id, vm in tasks.items()
        ],
    )


@given("a log that assigns 2 standing tasks and 1 other to 2 VMs")
def _log(context):
    context.registry = WorkflowRegistry()
    steps = [
        Step(count=2, needs=NEEDS, standing=True),
        Step(count=1, needs=NEEDS),
    ]
    _apply(context, accepted=[make_workflow(steps)])
    context.vms = {
        f"{NAME}.0.0.0": "v0",
        f"{NAME}.0.0.1": "v1",
        f"{NAME}.0.1.0": "v1",
    }
    _assign(context, context.vms, 1, "old")


@when("the leader claims it, {age_s:g} s after the process listened")
def _claim(context, age_s):
    context.now_s = 100.0
    context.counters = Counters()
    context.fleet = types.SimpleNamespace(sessions={})
    context.lines = []
    with unittest.mock.patch(CLOCK, lambda: context.now_s):
        context.monitor = RecoveryMonitor(
            registry=context.registry,
            fleet=context.fleet,
            counters=context.counters,
            claimed_s=context.now_s,
            listening_s=context.now_s - age_s,
        )
    _check(context, 0.0)


def _check(context, pause_s):
    context.now_s += pause_s
    with unittest.mock.patch(CLOCK, lambda: context.now_s):
        with captured_lines("radishlanding.dispatch") as lines:
            context.monitor.check()
    context.lines += [line for line in lines if "event=recovered" in line]


@when(
    "{pause_s:g} s later VM {vm} is followed with a new boot, and its tasks "
    "are assigned again"
)
def _followed(context, pause_s, vm):
    tasks = {key: name for key, name in context.vms.items() if name == vm}
    _apply(
        context,
        ends=[
            TaskEnd(task_id=key, attempt=1, kind=EndKind.INTERRUPTED)
            for key in tasks
        ],
    )
    _assign(context, tasks, 2, "new")
    context.counters.add("start_orders", len(tasks))
    context.fleet.sessions[vm] = types.SimpleNamespace(
        has_full_report=True, state=types.SimpleNamespace(boot="new")
    )
    _check(context, pause_s)


@when("{pause_s:g} s later nothing has changed")
def _unchanged(context, pause_s):
    _check(context, pause_s)


@then("nothing has been logged")
def _nothing(context):
    assert not context.lines, context.lines


@then("one line is logged: {fields}")
def _one_line(context, fields):
    (line,) = context.lines
    assert line.endswith(f"event=recovered {fields}"), line
    assert context.counters.get("recoveries") == 1


@then("{pause_s:g} s later nothing more is logged")
def _nothing_more(context, pause_s):
    _check(context, pause_s)
    assert len(context.lines) == 1, context.lines
