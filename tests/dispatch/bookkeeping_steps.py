"""Steps about what a leader holds of tasks and workflows."""

from behave import given
from behave import then
from behave import when

from radishlanding.dispatch import VmSession
from radishlanding.dispatch.vm_health_tracker import VmHealthTracker
from radishlanding.message import VmState
from radishlanding.policy import VmTrust
from radishlanding.vm import boot_clock_s
from radishlanding.vm import Capacity
from radishlanding.workflow import EndKind
from radishlanding.workflow import LogEntry
from radishlanding.workflow import Step
from radishlanding.workflow import TaskEnd
from radishlanding.workflow import WorkflowRegistry
from tests.workflow.workflow_steps import make_workflow
from tests.workflow.workflow_steps import NEEDS

# What is held against a VM halves in some seconds.
TRUST_TOLERANCE = 0.02
STATE = VmState(
    boot="b",
    zone="z0",
    pool="p",
    labels=[],
    capacity=Capacity(millicores=1000),
    is_draining=False,
    remaining_ms=0,
)


@given("a session whose agent accepted {count:d} orders at {clock_ms:d} ms")
def _session(context, count, clock_ms):
    context.session = VmSession(vm="vm1", conn=None, state=STATE, clock_ms=0)
    orders = context.session.orders_in_flight
    for number in range(count):
        orders.add(f"t{number}", 1)
        assert not orders.may_be_missing(f"t{number}", 1, clock_ms=9999)
        orders.answer(f"t{number}", 1, clock_ms=clock_ms)


@when("a report is made at {clock_ms:d} ms")
def _clock(context, clock_ms):
    context.report_ms = clock_ms
    context.session.orders_in_flight.prune(clock_ms=clock_ms)


@then("it holds {count:d} orders, and that report {may} lack them")
def _holds_orders(context, count, may):
    orders = context.session.orders_in_flight
    assert len(orders) == count
    shows_absence = orders.may_be_missing("t0", 1, clock_ms=context.report_ms)
    assert shows_absence == (may == "may not"), may


@given("a tracker of VMs with failures of {count:d} workflows")
def _tracker(context, count):
    context.registry = WorkflowRegistry()
    context.tracker = VmHealthTracker()
    context.names = [f"{number:016x}" for number in range(count)]
    context.registry.apply(
        LogEntry(
            commit_id="c",
            made_ms=1,
            accepted=[
                make_workflow([Step(count=1, needs=NEEDS)], name=name)
                for name in context.names
            ],
        )
    )
    session = VmSession(vm="vm1", conn=None, state=STATE, clock_ms=0)
    for name in context.names:
        end = TaskEnd(
            task_id=f"{name}.0.0.0",
            attempt=1,
            kind=EndKind.FAILED,
            checkpoint="",
        )
        context.tracker.record_end(end, session)


@when("all but {count:d} of them end")
def _most_end(context, count):
    entry = LogEntry(commit_id="d", made_ms=2, cancelled=context.names[count:])
    context.registry.apply(entry)
    context.tracker.prune_ended(context.registry)


@then("it holds failures of {count:d} workflows")
def _holds_failures(context, count):
    assert context.tracker.failed_workflows == count


@given("a tracker of VMs with full trust in them")
def _trusting_tracker(context):
    context.trust = VmTrust()
    context.tracker = VmHealthTracker(vm_trust=context.trust)


@when("3 members of a gang in one attempt have failed on vm1")
def _members_failed(context):
    _fail(context, [1, 1, 1], is_gang=True)


@when("3 members of a gang in 3 attempts have failed on vm1")
def _attempts_failed(context):
    _fail(context, [1, 2, 3], is_gang=True)


@when("3 tasks of a step that is no gang have failed on vm1")
def _tasks_failed(context):
    _fail(context, [1, 1, 1], is_gang=False)


def _fail(context, attempts, *, is_gang):
    session = VmSession(vm="vm1", conn=None, state=STATE, clock_ms=0)
    for index, attempt in enumerate(attempts):
        end = TaskEnd(
            task_id=f"{'0' * 16}.0.0.{index}",
            attempt=attempt,
            kind=EndKind.FAILED,
        )
        context.tracker.record_end(end, session, is_gang=is_gang)


@then("the trust in vm1 is that after {count:d} failures")
def _trust_after(context, count):
    expected = VmTrust()
    now_s = boot_clock_s()
    for _ in range(count):
        expected.record_failure("vm1", now_s=now_s)
    difference = context.trust.trust("vm1", now_s=now_s) - expected.trust(
        "vm1", now_s=now_s
    )
    assert abs(difference) < TRUST_TOLERANCE, difference
