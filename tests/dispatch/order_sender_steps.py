"""Steps for orders to a VM whose lease may have expired."""

import dataclasses
import functools
import time

import trio
import trio.testing
from behave import given
from behave import then
from behave import when

from radishlanding.config import Site
from radishlanding.dispatch.fleet import Fleet
from radishlanding.dispatch.order_sender import OrderSender
from radishlanding.dispatch.send_gate import SendGate
from radishlanding.message import VmHello
from radishlanding.message import VmReport
from radishlanding.message import VmState
from radishlanding.observe import Counters
from radishlanding.policy import Interference
from radishlanding.policy import SendWindow
from radishlanding.vm import boot_clock_s
from radishlanding.vm import LeaseTiming
from radishlanding.workflow import Assignment
from radishlanding.workflow import EndKind
from radishlanding.workflow import LogEntry
from radishlanding.workflow import Step
from radishlanding.workflow import WorkflowRegistry
from tests.dispatch.leader_steps import FakeAgent
from tests.workflow.workflow_steps import make_workflow
from tests.workflow.workflow_steps import NAME
from tests.workflow.workflow_steps import NEEDS

LEASE_S = 0.1
VM = "vm1"
BOOT = "vm1/1"
ZONE = "z1"


class FixedSite:
    """The configuration of a site that a test changes."""

    __slots__ = ("site",)

    def __init__(self):
        self.site = Site(version=1)


def _introduce(context, conn):
    hello = VmHello(
        vm=VM, epoch=0, clock_ms=1, state=VmState(boot=BOOT, zone=ZONE)
    )
    context.fleet.open_session(hello, conn)


def _introduce_again(context):
    _introduce(context, FakeAgent())


def _take_zone_out(context):
    context.site_watch.site = Site(version=2, zones_out=frozenset({ZONE}))


def _change_state(context, **changes):
    session = context.fleet.find(VM, context.agent)
    session.state = dataclasses.replace(session.state, **changes)


def _cancel(context):
    context.registry.apply(
        LogEntry(commit_id="d", made_ms=2, cancelled=[NAME])
    )


CHANGES = {
    "its zone is taken out": _take_zone_out,
    "it drains": functools.partial(_change_state, is_draining=True),
    "its worker starts again": functools.partial(_change_state, boot="vm1/2"),
    "its agent introduces it again": _introduce_again,
    "the workflow is cancelled": _cancel,
}


@given("a VM whose lease has {state}")
def _a_vm(context, state):
    context.registry = WorkflowRegistry()
    context.fleet = Fleet(
        registry=context.registry,
        epoch=1,
        timing=LeaseTiming(vm_lease_s=LEASE_S, owner_grace_s=0, drift_s=0),
        interference=Interference(),
    )
    context.agent = FakeAgent()
    context.site_watch = FixedSite()
    context.gate = SendGate(window=SendWindow(link_mbps=1000.0))
    _introduce(context, context.agent)
    if state == "expired":
        time.sleep(1.5 * LEASE_S)


@when("a task is assigned to it")
def _assigned(context):
    _assign(context)


@when("it disconnects, and a task is assigned to it")
def _disconnected(context):
    context.fleet.drop(context.agent)
    _assign(context)


@when("it starts again, and a task is assigned to it")
def _restarted(context):
    _change_state(context, boot="vm1/2")
    _assign(context)


@when("a task is assigned to it on a full connection, and then {change}")
def _assigned_on_connection(context, change):
    context.agent.has_room = trio.Event()

    def make_room():
        CHANGES[change](context)
        context.agent.has_room.set()

    _assign(context, make_room, is_link_full=False)


@when("a task is assigned to it on a full link, and then {change}")
def _assigned_then(context, change):
    _assign(context, functools.partial(CHANGES[change], context))


def _assign(context, change=None, *, is_link_full=True):
    """Send an order, and make a change while it waits."""
    assignment = Assignment(
        task_id=f"{NAME}.0.0.0", attempt=1, vm=VM, boot=BOOT
    )
    context.registry.apply(
        LogEntry(
            commit_id="c",
            made_ms=1,
            accepted=[make_workflow([Step(count=1, needs=NEEDS)])],
            assignments=[assignment],
        )
    )
    sender = OrderSender(
        registry=context.registry,
        fleet=context.fleet,
        epoch=1,
        counters=Counters(),
        gate=context.gate,
        site_watch=context.site_watch,
    )
    context.unsent = []

    async def send():
        async with trio.open_nursery() as nursery:
            sender.open(
                nursery,
                on_answered=lambda: None,
                on_unsent=context.unsent.extend,
            )
            if change is None:
                sender.start([assignment])
                return
            size_bytes = context.gate.room_bytes if is_link_full else 0
            context.gate.queue(size_bytes)
            async with context.gate.passing(size_bytes):
                sender.start([assignment])
                await trio.testing.wait_all_tasks_blocked()
                change()

    trio.run(send)


@then("it is sent {count:d} order")
def _sent(context, count):
    assert len(context.agent.started) == count, context.agent.started


@when("its agent reports no tasks before the VM is taken for lost")
def _reports(context):
    session = context.fleet.find(VM, context.agent)
    report = VmReport(
        vm=VM,
        is_full=True,
        clock_ms=2,
        state=VmState(boot=BOOT),
        fence=session.fence,
    )
    context.ends = context.fleet.update(session, report)
    context.fleet.grant(session, start_s=boot_clock_s())


@then("the end of the task is noticed")
def _end_noticed(context):
    ends = [(end.task_id, end.attempt, end.kind) for end in context.ends]
    assert ends == [(f"{NAME}.0.0.0", 1, EndKind.INTERRUPTED)], ends


@given("a VM that an earlier leader may grant leases for {grace_s:g} s")
def _earlier_leader(context, grace_s):
    context.registry = WorkflowRegistry()
    context.fleet = Fleet(
        registry=context.registry,
        epoch=2,
        timing=LeaseTiming(
            vm_lease_s=LEASE_S, owner_grace_s=grace_s, drift_s=0
        ),
        interference=Interference(),
    )
    context.agent = FakeAgent()


@when("a task of it is on record and its introduction gets no answer")
def _unanswered(context):
    context.registry.apply(
        LogEntry(
            commit_id="c",
            made_ms=1,
            accepted=[make_workflow([Step(count=1, needs=NEEDS)])],
            assignments=[
                Assignment(
                    task_id=f"{NAME}.0.0.0", attempt=1, vm=VM, boot=BOOT
                )
            ],
        )
    )
    hello = VmHello(vm=VM, epoch=1, clock_ms=1, state=VmState(boot=BOOT))
    context.fleet.open_session(hello, context.agent)
    context.fleet.drop(context.agent)


@then("its task is not given up within {limit_s:g} s")
def _not_given_up(context, limit_s):
    end_s = time.monotonic() + limit_s - LEASE_S
    while time.monotonic() < end_s:
        assert not context.fleet.lost_vm_ends()
        time.sleep(LEASE_S / 2)


@then("its end is reported as not_run")
def _not_run(context):
    ends = [(end.task_id, end.attempt, end.kind) for end in context.unsent]
    assert ends == [(f"{NAME}.0.0.0", 1, EndKind.NOT_RUN)], ends
