"""Steps for the trust of a leader in its VMs."""

from behave import given
from behave import then
from behave import when

from radishlanding.config import Site
from radishlanding.dispatch.fleet import Fleet
from radishlanding.dispatch.run_time_monitor import RunTimeMonitor
from radishlanding.message import RunningTask
from radishlanding.message import VmHello
from radishlanding.message import VmReport
from radishlanding.message import VmState
from radishlanding.observe import Counters
from radishlanding.policy import DOUBTFUL_TRUST
from radishlanding.policy import Interference
from radishlanding.policy import LearnedRunTimes
from radishlanding.policy import VmTrust
from radishlanding.policy.vm_trust import FULL_TRUST
from radishlanding.vm import Capacity
from radishlanding.vm import LeaseTiming
from radishlanding.workflow import Assignment
from radishlanding.workflow import EndKind
from radishlanding.workflow import LogEntry
from radishlanding.workflow import Step
from radishlanding.workflow import TaskEnd
from radishlanding.workflow import WorkflowRegistry
from tests.standin.log_lines import captured_lines
from tests.workflow.workflow_steps import make_workflow
from tests.workflow.workflow_steps import NEEDS

NAME = "0123456789abcdef"
CAPACITY = Capacity(millicores=64_000, memory_mb=64_000)
TASKS_PER_VM = 2
FAULTY = "vm0"


def _state(vm, boot):
    return VmState(
        boot=f"{vm}/{boot}", zone="z0", pool="order-desk", capacity=CAPACITY
    )


def _report(context, vm, *, boot=1, running=()):
    context.fleet.update(
        context.fleet.sessions[vm],
        VmReport(
            vm=vm,
            is_full=False,
            clock_ms=2,
            state=_state(vm, boot),
            running=list(running),
        ),
    )


@given("a leader's fleet of {count:d} VMs that run a step of {tasks:d} tasks")
def _fleet(context, count, tasks):
    assert tasks == count * TASKS_PER_VM
    context.counters, context.registry = Counters(), WorkflowRegistry()
    vm_trust = VmTrust()
    context.fleet = Fleet(
        registry=context.registry,
        epoch=1,
        timing=LeaseTiming(vm_lease_s=6.0, owner_grace_s=3.0, drift_s=0.1),
        interference=Interference(),
        run_time_monitor=RunTimeMonitor(
            registry=context.registry,
            run_times=LearnedRunTimes(),
            vm_trust=vm_trust,
            counters=context.counters,
        ),
        vm_trust=vm_trust,
        counters=context.counters,
    )
    context.vms = [f"vm{number}" for number in range(count)]
    step = Step(count=tasks, needs=NEEDS, estimated_ms=3000)
    context.registry.apply(
        LogEntry(
            commit_id="c",
            made_ms=1,
            accepted=[make_workflow([step], name=NAME)],
            assignments=[
                Assignment(
                    task_id=f"{NAME}.0.0.{index}",
                    attempt=1,
                    vm=context.vms[index // TASKS_PER_VM],
                    boot=f"{context.vms[index // TASKS_PER_VM]}/1",
                )
                for index in range(tasks)
            ],
        )
    )
    for vm in context.vms:
        _open(context, vm, boot=1)


def _open(context, vm, *, boot):
    hello = VmHello(vm=vm, epoch=0, clock_ms=1, state=_state(vm, boot))
    context.fleet.open_session(hello, object())
    context.fleet.sessions[vm].has_full_report = True


def _run(context, *, slow_pace):
    """Report all tasks three times, those of one VM at a quarter of the speed.

    :param slow_pace: Pace of that VM's tasks, in percent.
    """
    for progress in (4, 20, 40):
        for number, vm in enumerate(reversed(context.vms)):
            first = (len(context.vms) - 1 - number) * TASKS_PER_VM
            is_slow = vm == FAULTY
            _report(
                context,
                vm,
                running=[
                    RunningTask(
                        task_id=f"{NAME}.0.0.{index}",
                        attempt=1,
                        progress=progress,
                        full_pace_ms=30 * progress * (4 if is_slow else 1),
                        pace_percent=slow_pace if is_slow else 100,
                    )
                    for index in range(first, first + TASKS_PER_VM)
                ],
            )


def _fail(context, vms):
    for number in range(2):
        for vm in vms:
            end = TaskEnd(
                task_id=f"{number:016x}.0.0.0", attempt=1, kind=EndKind.FAILED
            )
            context.fleet.record_end(end, vm)


def _restart(context, times):
    for boot in range(2, 2 + times):
        _report(context, FAULTY, boot=boot)


HISTORIES = {
    "runs its tasks at a quarter of the speed": lambda context: _run(
        context, slow_pace=100
    ),
    "runs them at a quarter of the speed, paced": lambda context: _run(
        context, slow_pace=40
    ),
    "fails tasks of 2 workflows": lambda context: _fail(context, [FAULTY]),
    "fails tasks of workflows that fail on others": lambda context: _fail(
        context, ["vm1", FAULTY]
    ),
    "starts again twice": lambda context: _restart(context, 2),
    "starts again once": lambda context: _restart(context, 1),
}


@when("one of the VMs {history}")
def _history(context, history):
    HISTORIES[history](context)


def _ratings(context):
    ratings = {}
    for load in context.fleet.loads(Site(version=1), with_stuck=True):
        is_probed = DOUBTFUL_TRUST <= load.trust < FULL_TRUST
        rating = "trusted" if load.trust >= FULL_TRUST else "doubtful"
        ratings[load.vm] = "probed" if is_probed else rating
    return ratings


@then("it is {rating:w}, and the others are trusted")
def _rated(context, rating):
    ratings = _ratings(context)
    assert ratings.pop(FAULTY) == rating, ratings
    assert set(ratings.values()) == {"trusted"}, ratings


def _review(context):
    """Return the lines that two reviews log."""
    with captured_lines("radishlanding.dispatch") as lines:
        context.fleet.prune_ended()
        context.fleet.prune_ended()
    return [line for line in lines if "event=vm_" in line]


@then("reviews log one vm_doubted with its reasons, and count it")
def _doubted(context):
    (line,) = _review(context)
    assert "event=vm_doubted" in line and f"vm={FAULTY}" in line, line
    assert "failures=0.19" in line and "slowness=0.00" in line, line
    assert context.counters.get("vms_doubted") == 1


@when("it finishes {count:d} tasks")
def _finishes(context, count):
    for index in range(count):
        end = TaskEnd(
            task_id=f"{NAME}.0.0.{index}", attempt=1, kind=EndKind.DONE
        )
        context.fleet.record_end(end, FAULTY)


@then("reviews log one vm_trusted_again")
def _trusted_again(context):
    (line,) = _review(context)
    assert "event=vm_trusted_again" in line and f"vm={FAULTY}" in line, line
    assert context.counters.get("vms_trusted_again") == 1


@when("all agents report boots that the log does not know")
def _new_boots(context):
    context.fleet.sessions.clear()
    for vm in context.vms:
        _open(context, vm, boot=2)


@then("all VMs are trusted")
def _all_trusted(context):
    assert set(_ratings(context).values()) == {"trusted"}
