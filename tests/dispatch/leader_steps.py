"""Steps for a leader in the process of the test."""

import base64
import dataclasses
import functools
import random
import time

import trio
from behave import given
from behave import then
from behave import when

from radishlanding.config import AdvisorTiming
from radishlanding.config import Queue
from radishlanding.config import Site
from radishlanding.dispatch import EntryLog
from radishlanding.dispatch import keys
from radishlanding.dispatch import Leader
from radishlanding.dispatch.head import Head
from radishlanding.dispatch.interference_store import InterferenceStore
from radishlanding.dispatch.lease_table import LeaseTable
from radishlanding.dispatch.log_reader import read_log
from radishlanding.message import EndsRecorded
from radishlanding.message import RunningTask
from radishlanding.message import StartOrders
from radishlanding.message import StartOrdersAnswer
from radishlanding.message import StopOrders
from radishlanding.message import TaskEndReport
from radishlanding.message import VmHello
from radishlanding.message import VmReport
from radishlanding.message import VmState
from radishlanding.observe import Counters
from radishlanding.peer import CallRefused
from radishlanding.peer import CallWithdrawn
from radishlanding.policy import EarliestDeadline
from radishlanding.policy import Interference
from radishlanding.policy import TicketCache
from radishlanding.policy import WorkflowPlanner
from radishlanding.store import unpack
from radishlanding.store import Write
from radishlanding.vm import boot_clock_s
from radishlanding.vm import Capacity
from radishlanding.vm import clock_ms
from radishlanding.vm import LeaseTiming
from radishlanding.workflow import EndKind
from radishlanding.workflow import Step
from radishlanding.workflow import TaskEnd
from radishlanding.workflow import WorkflowOutcome
from tests.dispatch.entry_log_steps import LARGE_BYTES
from tests.dispatch.entry_log_steps import make_store
from tests.dispatch.fake_advisor import FakeAdvisor
from tests.standin.log_lines import captured_lines
from tests.standin.open_platform import open_platform_store
from tests.workflow.workflow_steps import make_workflow
from tests.workflow.workflow_steps import NAME
from tests.workflow.workflow_steps import NEEDS
from tests.workflow.workflow_steps import QUEUE

TIMING = LeaseTiming(
    vm_lease_s=1.0, owner_grace_s=1.0, drift_s=0.2, hold_max_s=3.0
)
IMAGE = "cruncher"
# 200 characters in base64.
LABEL_BYTES = 150
# Workflows that a steady load submits.
MAX_STEADY = 200


class FakeAgent:
    """A connection to an agent that accepts every order."""

    __slots__ = (
        "acknowledged",
        "can_read",
        "has_room",
        "is_aborted",
        "specs",
        "started",
        "stopped",
        "taken_ms",
    )

    def __init__(self):
        """Initialise it without orders."""
        self.acknowledged = []
        # Start orders that it cannot read yet stay on their way to it.
        self.can_read = trio.Event()
        self.can_read.set()
        # Orders wait here while other messages fill the connection.
        self.has_room = trio.Event()
        self.has_room.set()
        self.is_aborted = False
        self.specs = []
        self.started = []
        self.stopped = []
        self.taken_ms = 0

    async def call(self, message, *, timeout_s):
        """Record start or stop orders."""
        await self.has_room.wait()
        if isinstance(message, StartOrders):
            self.started += message.orders
            self.specs += message.specs
            await self.can_read.wait()
            self.taken_ms = clock_ms()
            return StartOrdersAnswer(clock_ms=self.taken_ms)
        assert isinstance(message, StopOrders), message
        self.stopped += message.keys
        return None

    async def call_prepared(self, prepare, *, timeout_s):
        """Record start orders, unless they are withdrawn."""
        await self.has_room.wait()
        message = prepare()
        if message is None:
            raise CallWithdrawn
        return await self.call(message, timeout_s=timeout_s)

    async def notify(self, message):
        """Record acknowledged ends."""
        assert isinstance(message, EndsRecorded), message
        self.acknowledged += message.keys

    def abort(self):
        """Record that the connection was aborted."""
        self.is_aborted = True


class _CountingPlanner(WorkflowPlanner):
    """Count the rounds of placement."""

    __slots__ = ("rounds",)

    def __init__(self, **fields):
        """Initialise it without rounds."""
        super().__init__(**fields)
        self.rounds = 0

    def plan(self, records, loads, *, now_ms, max_bytes=None):
        """Count a round and place tasks."""
        self.rounds += 1
        return super().plan(records, loads, now_ms=now_ms, max_bytes=max_bytes)


class _SiteWatch:
    """A watch that always has a site configuration."""

    __slots__ = ("site",)

    is_ready = True

    def __init__(self, *, valid_ms=20_000):
        """Initialise it.

        :param valid_ms: Validity of the advisor's tickets, in milliseconds.
        """
        timing = AdvisorTiming(decide_ms=10, valid_ms=valid_ms)
        queue = Queue(
            name="q",
            host="h",
            prefix="/",
            pool="order-desk",
            advisor_timing=timing,
        )
        self.site = Site(version=1, queues={"q": queue})


@given("a leader on a platform store and a VM that follows it")
def _a_leader(context):
    context.agents = {}
    context.fences = {}
    context.vm_labels = {}
    context.interference = Interference()
    context.bridge.call(_open_leader, context)
    follow(context, "vm1")


async def _open_leader(
    context,
    *,
    advisor=None,
    timing=TIMING,
    link_mbps=1000.0,
    valid_ms=20_000,
):
    context.platform_store, address = await open_platform_store(
        context.bridge.nursery
    )
    context.store_address = address
    await _lead(
        context,
        advisor=advisor,
        timing=timing,
        link_mbps=link_mbps,
        valid_ms=valid_ms,
    )


async def open_next_leader(context):
    """Claim the log of the leader and lead in its place."""
    context.leader_scope.cancel()
    await _lead(context)


async def _lead(
    context,
    *,
    advisor=None,
    timing=TIMING,
    link_mbps=1000.0,
    valid_ms=20_000,
):
    store = make_store(context.store_address)
    kv = await store.get(keys.LEADER)
    log = context.leader_log = EntryLog(store=store)
    registry = context.registry = await log.claim(
        process_id="p",
        leader_write=Write(key=keys.LEADER, value=b"p"),
        leader_version=kv.version if kv else 0,
    )
    context.leader = make_leader(
        context,
        log=log,
        registry=registry,
        advisor=advisor,
        timing=timing,
        link_mbps=link_mbps,
        valid_ms=valid_ms,
    )
    context.leader_scope = trio.CancelScope()
    context.bridge.nursery.start_soon(_run_leader, context)


def make_leader(
    context,
    *,
    log,
    registry,
    advisor=None,
    timing=TIMING,
    link_mbps=1000.0,
    valid_ms=20_000,
):
    """Return a leader that has claimed a log.

    :param context: The behave context, which takes the planner.
    :param log: The :class:`EntryLog`.
    :param registry: The registry that was recovered from it.
    :param advisor: See :class:`Leader`.
    :param timing: See :class:`Leader`.
    :param link_mbps: See :class:`Leader`.
    :param valid_ms: Validity of the advisor's tickets, in milliseconds.
    """
    tickets = TicketCache()
    context.planner = _CountingPlanner(
        order=EarliestDeadline(),
        interference=context.interference,
        tickets=tickets,
        clock_s=boot_clock_s,
    )
    return Leader(
        log=log,
        registry=registry,
        site_watch=_SiteWatch(valid_ms=valid_ms),
        planner=context.planner,
        interference=context.interference,
        timing=timing,
        counters=Counters(),
        on_store_unreachable=trio.lowlevel.checkpoint,
        tickets=tickets,
        advisor=advisor,
        link_mbps=link_mbps,
    )


async def _run_leader(context):
    with context.leader_scope:
        await context.leader.run()


def _state(context, vm, *, boot=1):
    return VmState(
        boot=f"{vm}/{boot}",
        zone="z0",
        pool="order-desk",
        labels=context.vm_labels.get(vm, ["a", "r1"]),
        capacity=Capacity(millicores=64_000, memory_mb=64_000),
    )


def _introduce(context, vm, *, reads_specs=False):
    async def introduce():
        hello = VmHello(
            vm=vm,
            epoch=0,
            clock_ms=clock_ms(),
            state=_state(context, vm),
            reads_specs=reads_specs,
            reads_proof_age=True,
        )
        welcome = context.leader.hello(hello, context.agents[vm])
        assert welcome.accepted
        context.fences[vm] = welcome.fence

    context.bridge.call(introduce)


def follow(context, vm, *, reads_specs=False):
    context.agents[vm] = FakeAgent()
    _introduce(context, vm, reads_specs=reads_specs)
    _report(context, vm)


async def send_report(
    context,
    vm,
    *,
    running=(),
    ended=(),
    boot=1,
    made_ms=None,
    fence=None,
    is_silent=False,
):
    await trio.sleep(0.01)
    session = context.leader.fleet.find(vm, context.agents[vm])
    return context.leader.report(
        session,
        VmReport(
            vm=vm,
            is_full=True,
            clock_ms=clock_ms() if made_ms is None else made_ms,
            state=dataclasses.replace(
                _state(context, vm, boot=boot), is_silent=is_silent
            ),
            running=list(running),
            ended=list(ended),
            fence=context.fences[vm] if fence is None else fence,
        ),
    )


def _report(context, vm, **fields):
    return context.bridge.call(send_report, context, vm, **fields)


def _submit(context, *, count=2, name=NAME, needs=NEEDS, **fields):
    step = Step(count=count, needs=needs, **fields)
    return context.bridge.call(
        functools.partial(
            context.leader.submit,
            make_workflow([step], name=name),
            request_id="r",
        )
    )


@when("a workflow of {count:d} tasks is submitted")
def _is_submitted(context, count):
    context.answers = [_submit(context, count=count)]


@when("a best-effort and a latency-critical task are submitted")
def _best_effort_and_serving(context):
    _submit(context, count=1, fills=True, image=IMAGE, estimated_ms=900)
    _submit(
        context, count=1, name="c" * 16, latency_target_ms=150, standing=True
    )


@then("they do not repeat the specification of the workflow")
def _no_specs(context):
    assert all(order.spec for order in context.agents["vm1"].started)
    assert not any(order.spec for order in context.ack.orders)


@given("the agent of the VM reads the specifications of orders")
def _reads_specs(context):
    follow(context, "vm1", reads_specs=True)


def _specs(context):
    agent = context.agents["vm1"]
    numbers = [order.spec_number for order in agent.started]
    return agent.specs, numbers, [order.spec for order in agent.started]


@then("the orders contain the specification once")
def _spec_once(context):
    assert _specs(context) == (["work"], [1, 1], ["", ""]), _specs(context)


@then("each order contains the specification")
def _spec_each(context):
    found = _specs(context)
    assert found == ([], [0, 0], ["work", "work"]), found


@when("the VM reports them without their orders, and one unknown task")
def _without_orders(context):
    running = [
        dataclasses.replace(item, lacks_order=True)
        for item in _running(context)
    ]
    unknown = RunningTask(
        task_id="e" * 16 + ".0.0.0", attempt=1, lacks_order=True
    )
    context.ack = _report(context, "vm1", running=[*running, unknown])


@then("it gets both orders again and no other")
def _gets_orders(context):
    orders = sorted(context.ack.orders, key=lambda order: order.task_id)
    started = [
        dataclasses.replace(order, spec="")
        for order in context.agents["vm1"].started
    ]
    assert orders == sorted(started, key=lambda order: order.task_id), orders
    fields = [(o.fills, o.latency_target_ms, o.estimated_ms) for o in orders]
    assert sorted(fields) == [(False, 150, 0), (True, 0, 900)], fields


@when("the same workflow is submitted three times at once")
def _three_times(context):
    workflow = make_workflow([Step(count=2, needs=NEEDS)])

    async def submit():
        context.answers.append(
            await context.leader.submit(workflow, request_id="r")
        )

    async def all_at_once():
        async with trio.open_nursery() as nursery:
            for _ in range(3):
                nursery.start_soon(submit)

    context.answers = []
    context.bridge.call(all_at_once)


@when("the store stops answering and two workflows are submitted")
def _store_silent(context):
    context.platform_store.mode = "silent"
    context.outcomes = []

    async def submit(name):
        workflow = make_workflow([Step(count=2, needs=NEEDS)], name=name)
        try:
            answer = await context.leader.submit(workflow, request_id="r")
            context.outcomes.append(answer.outcome)
        except CallRefused:
            context.outcomes.append("other leader")

    async def both():
        async with trio.open_nursery() as nursery:
            for name in ("a" * 16, "b" * 16):
                nursery.start_soon(submit, name)
                await trio.sleep(0.05)

    began_s = time.monotonic()
    context.bridge.call(both)
    context.took_s = time.monotonic() - began_s


@then("the answers took less than {bound_s:g} s")
def _took(context, bound_s):
    assert context.took_s < bound_s, context.took_s


@then("one caller gets an uncertain outcome and one is sent to another leader")
def _uncertain_and_referred(context):
    assert sorted(context.outcomes) == ["other leader", "uncertain"], (
        context.outcomes
    )


@when("the store gives no answer until the proof has expired")
def _proof_expired(context):
    context.platform_store.mode = "busy"
    context.bridge.call(trio.sleep, 1.3)


@when("an unknown workflow is looked up")
def _looked_up(context):
    context.answers = [
        context.bridge.call(context.leader.find, "f" * 16, QUEUE)
    ]


@then("the caller gets the outcome {outcomes}")
@then("each caller gets the outcome {outcomes}")
def _has_outcome(context, outcomes):
    allowed = outcomes.split(" or ")
    found = [answer.outcome for answer in context.answers]
    assert all(outcome in allowed for outcome in found), found


async def _until(condition, wait_s):
    with trio.move_on_after(wait_s):
        while not condition():
            await trio.sleep(0.01)
    return condition()


def _wait(context, condition, wait_s):
    return context.bridge.call(_until, condition, wait_s)


@then("within {wait_s:d} s the VM is ordered to start {count:d} tasks")
@when("within {wait_s:d} s the VM is ordered to start {count:d} tasks")
def _ordered(context, wait_s, count):
    agent = context.agents["vm1"]
    _wait(context, lambda: len(agent.started) >= count, wait_s)
    assert len(agent.started) == count, agent.started


@when("the VM follows again")
def _follows_again(context):
    follow(context, "vm1")


@then(
    "within {wait_s:d} s the VM is ordered to start {count:d} tasks, as "
    "attempt {number:d} alone"
)
def _ordered_alone(context, wait_s, count, number):
    agent = context.agents["vm1"]
    _wait(context, lambda: len(agent.started) >= count, wait_s)
    context.bridge.call(trio.sleep, 0.5)
    attempts = [order.attempt for order in agent.started]
    assert attempts == [number] * count, attempts


@then("the VM is ordered to start nothing")
def _nothing_ordered(context):
    context.bridge.call(trio.sleep, 0.5)
    assert context.agents["vm1"].started == []


@when("the VM reports both as done")
def _both_done(context):
    ended = [
        TaskEndReport(
            task_id=f"{NAME}.0.0.{index}", attempt=1, kind=EndKind.DONE
        )
        for index in range(2)
    ]
    _report(context, "vm1", ended=ended)


@then("within {wait_s:d} s the workflow is reported as {phase:w}")
def _is_reported_as(context, wait_s, phase):
    async def find():
        with trio.move_on_after(wait_s):
            while (await context.leader.find(NAME, QUEUE)).phase != phase:
                await trio.sleep(0.01)
        return (await context.leader.find(NAME, QUEUE)).phase

    assert context.bridge.call(find) == phase


@then("both ends are acknowledged to the VM")
def _ends_acknowledged(context):
    agent = context.agents["vm1"]
    assert _wait(context, lambda: len(agent.acknowledged) == 2, 2)


def _running(context):
    return [
        RunningTask(task_id=order.task_id, attempt=order.attempt)
        for order in context.agents["vm1"].started
    ]


@when("the VM reports them as running")
def _reports_running(context):
    _report(context, "vm1", running=_running(context))


@when("the VM reports them as running, with checkpoints {checkpoint:w}")
def _reports_checkpoints(context, checkpoint):
    running = [
        dataclasses.replace(item, checkpoint=checkpoint)
        for item in _running(context)
    ]
    context.with_checkpoints = running
    _report(context, "vm1", running=running)


@then(
    "within {wait_s:d} s the next leader would resume both from {checkpoint:w}"
)
def _would_resume(context, wait_s, checkpoint):
    async def read():
        store = make_store(context.store_address)
        kv = await store.get(keys.HEAD)
        contents = await read_log(store, unpack(Head, kv.value))
        (record,) = contents.registry.workflows.values()
        return {task.checkpoint for task in record.tasks.values()}

    found = set()
    for _ in range(wait_s * 10):
        found = context.bridge.call(read)
        if found == {checkpoint}:
            return
        context.bridge.call(trio.sleep, 0.1)
        _report(context, "vm1", running=context.with_checkpoints)
    raise AssertionError(found)


@then("at most {count:d} entries are in the log")
def _few_entries(context, count):
    found = context.platform_store.keys(keys.LOG)
    assert len(found) <= count, found


@when("the workflow is cancelled")
def _cancelled(context):
    answer = context.bridge.call(
        functools.partial(context.leader.cancel, NAME, QUEUE, request_id="r")
    )
    assert answer.phase == "cancelled", answer


@then("within {wait_s:d} s the VM is ordered to stop {count:d} tasks")
@then("within {wait_s:d} s the VM is ordered to stop {count:d} task")
def _stops(context, wait_s, count):
    agent = context.agents["vm1"]
    assert _wait(context, lambda: len(agent.stopped) == count, wait_s), (
        agent.stopped
    )


@when("the VM reports that it runs none of them")
def _runs_none(context):
    context.agents["vm1"].started.clear()
    _report(context, "vm1")


@when("a workflow of {count:d} tasks is ordered while the VM reads nothing")
def _ordered_unread(context, count):
    agent = context.agents["vm1"]
    agent.can_read = trio.Event()
    _submit(context, count=count)
    assert _wait(context, lambda: len(agent.started) == count, 2)


@when("the VM introduces itself again on the same connection")
def _introduced_again(context):
    context.bridge.call(trio.sleep, 0.01)
    _introduce(context, "vm1")


@when("the VM reports that it runs nothing, then takes the orders")
def _report_before_orders(context):
    _report(context, "vm1")

    async def read():
        context.agents["vm1"].can_read.set()

    context.bridge.call(read)
    _report(context, "vm1", running=_running(context))


@when("the store answers nothing while a workflow of 2 tasks is submitted")
def _submitted_to_silent_store(context):
    _submit_to_silent_store(context, NAME)


@when("the store answers nothing while another workflow is submitted")
def _other_submitted_to_silent_store(context):
    _submit_to_silent_store(context, "e" * 16)


def _submit_to_silent_store(context, name):
    """Leave the entry that records a workflow without an answer."""
    context.platform_store.mode = "silent"
    workflow = make_workflow([Step(count=2, needs=NEEDS)], name=name)
    context.bridge.spawn(
        functools.partial(context.leader.submit, workflow, request_id="r")
    )
    context.bridge.call(trio.sleep, 0.1)


@when("the VM reports both as done while the store answers nothing")
def _done_in_outage(context):
    context.platform_store.mode = "silent"
    _both_done(context)
    context.bridge.call(trio.sleep, 0.1)


@when("the cancellation of the workflow is sent")
def _cancellation_sent(context):
    context.outcomes = []

    async def cancel():
        try:
            answer = await context.leader.cancel(NAME, QUEUE, request_id="r")
            context.outcomes.append(answer.phase or answer.outcome)
        except CallRefused:
            context.outcomes.append("other leader")

    context.bridge.spawn(cancel)
    context.bridge.call(trio.sleep, 0.1)


@then("within {wait_s:d} s the caller is not told that it has ended")
def _not_told_end(context, wait_s):
    _wait(context, lambda: context.outcomes, wait_s)
    told = context.outcomes in (["uncertain"], ["refused"], ["other leader"])
    assert told, context.outcomes


@then("within {wait_s:d} s the caller is told that it is {phase:w}")
def _told_phase(context, wait_s, phase):
    _wait(context, lambda: context.outcomes, wait_s)
    assert context.outcomes == [phase], context.outcomes


@when("a workflow is submitted, and at once cancelled, behind a slow entry")
def _cancelled_behind_entry(context):
    async def submit(name):
        workflow = make_workflow([Step(count=1, needs=NEEDS)], name=name)
        await context.leader.submit(workflow, request_id="r")

    context.platform_store.delay_s = 0.4
    context.bridge.spawn(_submit_unplaceable, context)
    context.bridge.call(trio.sleep, 0.1)
    context.bridge.spawn(submit, NAME)
    _cancellation_sent(context)


async def _submit_unplaceable(context):
    step = Step(count=1, needs=NEEDS, label="nowhere")
    workflow = make_workflow([step], name="e" * 16)
    await context.leader.submit(workflow, request_id="r")


@when("the store answers nothing while the workflow is cancelled")
def _cancelled_in_outage(context):
    context.platform_store.mode = "silent"
    _cancellation_sent(context)


@when("the VM reports that it runs none, while the store answers nothing")
def _runs_none_in_outage(context):
    context.platform_store.mode = "silent"
    _report(context, "vm1")
    context.bridge.call(trio.sleep, 0.1)


@when("a workflow is submitted that needs a VM which does not follow yet")
def _submitted_for_other(context):
    _submit(context, count=1, label="later")


@when("the store answers nothing once that VM follows")
def _follows_in_outage(context):
    context.platform_store.mode = "silent"
    context.vm_labels["vm2"] = ["later"]
    follow(context, "vm2")
    context.bridge.call(trio.sleep, 0.5)


@then("within {wait_s:d} s that VM is ordered to start its task")
def _later_ordered(context, wait_s):
    agent = context.agents["vm2"]
    assert _wait(context, lambda: len(agent.started) == 1, wait_s)


@when("that VM reports it as running while the store answers nothing")
def _later_runs_in_outage(context):
    context.platform_store.mode = "silent"
    (order,) = context.agents["vm2"].started
    item = RunningTask(task_id=order.task_id, attempt=order.attempt)
    _report(context, "vm2", running=[item])
    context.bridge.call(trio.sleep, 0.8)


def _count_waiting(context):
    async def count():
        return context.leader.backlog(QUEUE)

    return context.bridge.call(count)


@then("{count:d} workflow waits")
def _waits(context, count):
    assert _count_waiting(context) == count, _count_waiting(context)


@then("within {wait_s:d} s no workflow waits")
def _none_waits(context, wait_s):
    assert _wait(context, lambda: context.leader.backlog(QUEUE) == 0, wait_s)


@when("the store answers again")
def _store_answers(context):
    context.platform_store.mode = ""


@when("the VM follows on another connection")
def _other_connection(context):
    context.older_fence = context.fences["vm1"]
    agent = FakeAgent()
    agent.started = context.agents["vm1"].started
    context.agents["vm1"] = agent
    _introduce(context, "vm1")


@when("the VM reports under its older token that it runs nothing")
def _older_token(context):
    _report(context, "vm1", fence=context.older_fence)


@when("a report arrives that was made before it took the orders")
def _old_report(context):
    made_ms = context.agents["vm1"].taken_ms - 1
    _report(context, "vm1", made_ms=made_ms)


@then("no task gets another attempt and none is stopped")
def _no_other_attempt(context):
    agent = context.agents["vm1"]
    context.bridge.call(trio.sleep, 0.5)
    assert len(agent.started) == 2, agent.started
    assert agent.stopped == [], agent.stopped


@then(
    "within {wait_s:d} s the VM is ordered to start them again, as attempt "
    "{number:d}"
)
def _again(context, wait_s, number):
    _started_as(context, "vm1", wait_s, number)


@then(
    "within {wait_s:d} s the other VM is ordered to start them, as attempt "
    "{number:d}"
)
def _started_on_other(context, wait_s, number):
    _started_as(context, "vm2", wait_s, number)


def _started_as(context, vm, wait_s, number):
    agent = context.agents[vm]
    assert _wait(context, lambda: len(agent.started) == 2, wait_s)
    assert {order.attempt for order in agent.started} == {number}


@given("a leader whose VMs start tasks up to {window_s:g} s after a report")
def _with_start_window(context, window_s):
    timing = dataclasses.replace(TIMING, start_window_s=window_s)
    context.agents = {}
    context.bridge.call(
        functools.partial(_open_leader, context, timing=timing)
    )
    follow(context, "vm1")


@when("the store is away for longer than the lease, and the VM reports")
def _reports_without_grant(context):
    context.platform_store.mode = "busy"
    for _ in range(13):
        assert "vm1" in context.leader.fleet.sessions, "it was taken for lost"
        ack = _report(context, "vm1", running=_running(context))
        context.bridge.call(trio.sleep, 0.2)
    assert not ack.granted


@then("the VM is not lost until {wait_s:g} s after its last report")
def _lost_after_report(context, wait_s):
    sessions = context.leader.fleet.sessions
    context.bridge.call(trio.sleep, wait_s - 0.5)
    assert "vm1" in sessions
    assert _wait(context, lambda: "vm1" not in sessions, 1.2)


@when("the VM is silent for longer than its lease")
def _silent(context):
    context.bridge.call(trio.sleep, 1.6)


@when("the VM reports them on another boot of its worker and falls silent")
def _another_boot(context):
    _report(context, "vm1", running=_running(context), boot=2)
    context.restarted_s = boot_clock_s()
    context.leader.drop(context.agents["vm1"])


@then("the other VM is ordered to start them after {wait_s:g} s, not before")
def _not_before(context, wait_s):
    agent = context.agents["vm2"]
    _wait(context, lambda: len(agent.started) == 2, wait_s + 2)
    waited_s = boot_clock_s() - context.restarted_s
    assert waited_s >= wait_s, waited_s


@when("another VM follows")
@given("another VM follows, without latency-critical tasks")
def _another(context):
    follow(context, "vm2")


@when("an interfering best-effort task runs beside a latency-critical one")
def _beside(context):
    for _ in range(4):
        context.interference.observe([("t", 0.4)], {})
    for _ in range(12):
        context.interference.observe([("t", 1.4)], {IMAGE: 0.1})
    context.leader.drop(context.agents["vm2"])
    # A tenth of the VM, more than the serving task can spare.
    needs = Capacity(millicores=6400, memory_mb=100)
    fills = {"fills": True, "image": IMAGE, "checkpointing": True}
    _submit(context, count=1, name="f" * 16, needs=needs, **fills)
    _wait(context, lambda: context.agents["vm1"].started, 2)
    serving = {"standing": True, "latency_target_ms": 50, "image": "desk"}
    _submit(context, count=1, name="e" * 16, **serving)
    _wait(context, lambda: len(context.agents["vm1"].started) == 2, 2)
    _report(context, "vm1", running=_running(context))
    follow(context, "vm2")

    async def keep_reporting():
        for _ in range(8):
            session = context.leader.fleet.find("vm1", context.agents["vm1"])
            if session is not None:
                context.leader.fleet.grant(session, start_s=boot_clock_s())
            other = context.leader.fleet.find("vm2", context.agents["vm2"])
            if other is not None:
                context.leader.fleet.grant(other, start_s=boot_clock_s())
            await trio.sleep(0.4)

    context.bridge.spawn(keep_reporting)


@given("a leader of 0.5 s grace and a 1.2 s lease whose predecessor {ended}")
def _predecessor(context, ended):
    inherited_leases_s = {
        "may be of an earlier build": None,
        "was replaced 0.3 s ago": None,
        "resigned with 0.4 s of a lease left": {"vm9": 0.4},
        "resigned without naming the VM": {},
    }[ended]
    timing = LeaseTiming(vm_lease_s=1.0, owner_grace_s=0.5, drift_s=0.2)
    replaced_s = boot_clock_s() - 0.3 if "0.3 s ago" in ended else None
    context.leases = LeaseTable(
        timing=timing,
        inherited_leases_s=inherited_leases_s,
        earlier_leases_start_s=replaced_s,
    )


@then("a VM that has never reported is lost after {wait_s:g} s, not before")
def _lost_after(context, wait_s):
    remaining_s = context.leases.remaining_s("vm9")
    assert wait_s - 0.1 < remaining_s <= wait_s, remaining_s
    assert not context.leases.has_expired("vm9")


@when("2 latency-critical tasks are measured, of which one still runs")
def _two_measured(context):
    running = RunningTask(task_id="e" * 16 + ".0.0.0", attempt=1)
    _report(context, "vm1", running=[running])
    for name in (running.task_id, "f" * 16 + ".0.0.0"):
        context.interference.observe([(name, 0.4)], {})


@then("within {wait_s:d} s only that one has a baseline")
def _one_baseline(context, wait_s):
    def is_one():
        return context.interference.serving_task_ids == {"e" * 16 + ".0.0.0"}

    _wait(context, is_one, wait_s)
    assert is_one(), context.interference.serving_task_ids


@when("one image is learnt to be heavy and another one to be light")
def _images_learnt(context):
    for image, growth in (("heavy", 1.0), ("light", 0.0)):
        for _ in range(40):
            context.interference.observe([("s", 0.4)], {})
            context.interference.observe([("s", 0.4 + growth)], {image: 0.1})


@then("within 3 s a leader in a new process classifies both alike")
def _is_restored(context):
    other = Interference()

    async def wait_known():
        with trio.fail_after(3):
            while not (other.is_known("heavy") and other.is_known("light")):
                await trio.sleep(0.1)
                store = make_store(context.store_address)
                await InterferenceStore(interference=other).load(store)

    context.bridge.call(wait_known)
    assert other.is_light("light") and not other.is_light("heavy")
    assert other.weight("heavy") == context.interference.weight("heavy")


def _lead_with_advisor(context, vm, *, unanswered=0, valid_ms=20_000):
    context.advisor = FakeAdvisor(permitted=[vm], unanswered=unanswered)
    vms = list(context.agents)
    context.agents = {}
    context.bridge.call(
        functools.partial(
            _open_leader, context, advisor=context.advisor, valid_ms=valid_ms
        )
    )
    for name in vms:
        follow(context, name)


@given(
    "an advisor that permits only {vm:w}, and answers from the second call on"
)
def _advisor_late(context, vm):
    _lead_with_advisor(context, vm, unanswered=1)


@given("an advisor that permits only {vm:w}")
def _advisor(context, vm):
    _lead_with_advisor(context, vm)


@given("an advisor that permits only {vm:w}, for {valid_ms:d} ms")
def _advisor_for(context, vm, valid_ms):
    _lead_with_advisor(context, vm, valid_ms=valid_ms)


@given("its answers take {took_ms:d} ms")
def _slow_advisor(context, took_ms):
    context.advisor.took_s = took_ms / 1000


@when("an advised workflow of {count:d} tasks is placed by a slow store")
def _placed_in_slow_store(context, count):
    # Longer than half of the tickets' time.
    context.platform_store.delay_s = 0.35
    _advised_submitted(context, count)
    _report(context, "vm1")


@then(
    "within {wait_s:d} s {vm:w} is ordered to start {count:d} tasks, "
    "with some ticket"
)
def _some_ticket(context, wait_s, vm, count):
    tickets = _tickets(context, vm, count, wait_s)
    assert all(tickets), tickets


@when("an advised workflow of {count:d} tasks is submitted")
def _advised_submitted(context, count):
    workflow = make_workflow([Step(count=count, needs=NEEDS)], is_advised=True)
    submit = functools.partial(context.leader.submit, workflow, request_id="r")
    context.answers = [context.bridge.call(submit)]


def _tickets(context, vm, count, wait_s):
    started = context.agents[vm].started
    assert _wait(context, lambda: len(started) >= count, wait_s), started
    return [order.ticket for order in started[-count:]]


@then(
    "within {wait_s:d} s {vm:w} is ordered to start {count:d} tasks, "
    "with its ticket"
)
def _with_ticket(context, wait_s, vm, count):
    context.tickets = _tickets(context, vm, count, wait_s)
    wanted = f"{NAME}.0.0/{vm}/{len(context.advisor.steps)}"
    assert context.tickets == [wanted] * count, context.tickets


@then("{vm:w} is ordered to start nothing")
def _vm_starts_nothing(context, vm):
    context.bridge.call(trio.sleep, 0.3)
    assert context.agents[vm].started == []


@then("the advisor was called {count:d} times about the step")
def _called_times(context, count):
    assert context.advisor.steps == [f"{NAME}.0.0"] * count


@when("the VM refuses to run both for lack of a ticket")
def _tickets_refused(context):
    ended = [
        TaskEndReport(
            task_id=order.task_id,
            attempt=order.attempt,
            kind=EndKind.NOT_RUN,
            reason="no_ticket",
        )
        for order in context.agents["vm1"].started
    ]
    _report(context, "vm1", ended=ended)


@then(
    "within {wait_s:d} s {vm:w} is ordered to start {count:d} tasks, "
    "with a new ticket"
)
def _new_ticket(context, wait_s, vm, count):
    agent = context.agents[vm]
    assert _wait(context, lambda: len(agent.started) >= 2 * count, wait_s)
    fresh = [order.ticket for order in agent.started[count:]]
    assert not set(fresh) & set(context.tickets), fresh


@then(
    "within {wait_s:d} s it is ordered to start {count:d} tasks again, with "
    "tickets"
)
def _again_with_tickets(context, wait_s, count):
    started = context.agents["vm1"].started
    assert _wait(context, lambda: len(started) >= 2 * count, wait_s)
    tickets = [order.ticket for order in started[-count:]]
    assert all(tickets), tickets


@when("a standing workflow of 1 task is submitted")
def _standing_submitted(context):
    _submit(context, count=1, standing=True)
    assert _wait(context, lambda: context.agents["vm1"].started, 2)


@when("the tasks of {count:d} workflows fail on {vm:w}")
def _fail_there(context, count, vm):
    for number in range(count):
        end = TaskEnd(
            task_id=f"{number:016x}.0.0.0", attempt=1, kind=EndKind.FAILED
        )
        context.leader.fleet.record_end(end, vm)


def _max_new_tasks(context):
    loads = context.leader.fleet.loads(_SiteWatch().site)
    return {load.vm: load.max_new_tasks for load in loads}


@then("{vm:w} may take no task for {pause_s:d} s, then one")
def _then_one(context, vm, pause_s):
    began_s = time.monotonic()
    while not _max_new_tasks(context)[vm]:
        _report(context, vm, running=_running(context))
        context.bridge.call(trio.sleep, 0.1)
    took_s = time.monotonic() - began_s
    assert _max_new_tasks(context)[vm] == 1, _max_new_tasks(context)
    assert pause_s - 0.5 < took_s < pause_s + 1.5, took_s


@when("{count:d} workflows run on vm1")
def _run_on_vm1(context, count):
    for number in range(count):
        _submit(context, count=1, name=f"{number:016x}")
    agent = context.agents["vm1"]
    assert _wait(context, lambda: len(agent.started) == count, 2)


@when("vm1 reports that their tasks are stuck")
def _are_stuck(context):
    running = [
        dataclasses.replace(task, is_stuck=True) for task in _running(context)
    ]
    _report(context, "vm1", running=running)


@then("vm1 may take no task at all")
def _takes_none(context):
    assert "vm1" not in _max_new_tasks(context), _max_new_tasks(context)


@then("{vm:w} may take any number of tasks")
def _takes_any(context, vm):
    assert _max_new_tasks(context)[vm] is None, _max_new_tasks(context)


async def _submit_steadily(context):
    async def submit(number):
        workflow = make_workflow(
            [Step(count=1, needs=NEEDS)], name=f"{number:016x}"
        )
        spec = random.Random(number).randbytes(LARGE_BYTES)
        workflow.spec = base64.b64encode(spec).decode()
        await context.leader.submit(workflow, request_id="r")

    async with trio.open_nursery() as nursery:
        for number in range(MAX_STEADY):
            nursery.start_soon(submit, number)
            await trio.sleep(context.platform_store.delay_s / 3)


@when("large workflows are submitted faster than the store answers")
def _submitted_steadily(context):
    context.platform_store.delay_s = 0.1
    context.bridge.spawn(functools.partial(_submit_steadily, context))


@given("a store that takes no snapshot")
def _takes_no_snapshot(context):
    context.platform_store.busy_prefix = keys.SNAPSHOTS


@then("within {wait_s:d} s {least:d} to {most:d} attempts to make one fail")
def _attempts_fail(context, wait_s, least, most):
    with captured_lines("radishlanding.dispatch") as lines:
        context.bridge.call(trio.sleep, wait_s)
    failed = [line for line in lines if "event=snapshot_failed" in line]
    assert least <= len(failed) <= most, len(failed)


@when("the store takes snapshots again")
def _takes_snapshots(context):
    context.platform_store.busy_prefix = ""


@then("within {wait_s:d} s a snapshot is on record")
def _snapshot_on_record(context, wait_s):
    for _ in range(wait_s * 10):
        if context.platform_store.keys(keys.SNAPSHOTS):
            return
        context.bridge.call(trio.sleep, 0.1)
    raise AssertionError(len(context.platform_store.keys(keys.LOG)))


@when(
    "{count:d} workflows with specifications of {size:d} bytes are submitted "
    "at once"
)
def _burst(context, count, size):
    context.platform_store.delay_s = 0.05
    context.outcomes = []
    workflows = []
    for number in range(count):
        step = Step(count=1, needs=NEEDS)
        workflow = make_workflow([step], name=f"{number:016x}")
        # Base64 turns three bytes into four characters.
        spec = random.Random(number).randbytes(size * 3 // 4)
        workflow.spec = base64.b64encode(spec).decode()
        workflows.append(workflow)

    async def submit(workflow):
        answer = await context.leader.submit(workflow, request_id="r")
        context.outcomes.append(answer.outcome)

    async def submit_all():
        async with trio.open_nursery() as nursery:
            for workflow in workflows:
                nursery.start_soon(submit, workflow)

    context.bridge.spawn(submit_all)


@when(
    "{count:d} workflows of {steps:d} steps with random labels are submitted "
    "at once"
)
@when(
    "{count:d} workflow of {steps:d} steps with random labels is submitted "
    "at once"
)
def _burst_of_steps(context, count, steps):
    context.outcomes = []
    rng = random.Random(steps)

    def make_label():
        return base64.b64encode(rng.randbytes(LABEL_BYTES)).decode()

    async def submit(workflow):
        answer = await context.leader.submit(workflow, request_id="r")
        context.outcomes.append(answer.outcome)
        # Callers try again when a busy leader has refused.
        if answer.outcome == WorkflowOutcome.REFUSED and count > 1:
            await trio.sleep(answer.retry_after_s)
            await submit(workflow)

    async def submit_all():
        async with trio.open_nursery() as nursery:
            for number in range(count):
                workflow = make_workflow(
                    [
                        Step(
                            count=1,
                            needs=NEEDS,
                            label=make_label(),
                            after=[index - 1] if index else [],
                        )
                        for index in range(steps)
                    ],
                    name=f"{number:016x}",
                )
                nursery.start_soon(submit, workflow)

    context.bridge.spawn(submit_all)


@then("it is refused for its size, within {wait_s:d} s")
def _refused_for_size(context, wait_s):
    assert _wait(context, lambda: context.outcomes, wait_s)
    assert context.outcomes == [WorkflowOutcome.REFUSED], context.outcomes


@when("a workflow of {count:d} small tasks runs on the VM")
def _small_tasks_run(context, count):
    _submit(context, count=count, needs=Capacity(millicores=1))
    agent = context.agents["vm1"]
    assert _wait(context, lambda: len(agent.started) == count, 5)
    _report(context, "vm1", running=_running(context))


def _random_checkpoints(context, size):
    rng = random.Random(size)
    context.checkpoints = {
        item.task_id: base64.b64encode(rng.randbytes(size * 3 // 4)).decode()
        for item in _running(context)
    }


@when(
    "the VM reports running attempts with random checkpoints of {size:d} bytes"
)
def _reports_large_checkpoints(context, size):
    _random_checkpoints(context, size)
    context.reported = {
        "running": [
            dataclasses.replace(
                item, checkpoint=context.checkpoints[item.task_id]
            )
            for item in _running(context)
        ]
    }


@when(
    "the VM reports ends of attempts with random checkpoints of {size:d} bytes"
)
def _reports_large_ends(context, size):
    _random_checkpoints(context, size)
    context.reported = {
        "ended": [
            TaskEndReport(
                task_id=item.task_id,
                attempt=item.attempt,
                kind=EndKind.INTERRUPTED,
                checkpoint=context.checkpoints[item.task_id],
            )
            for item in _running(context)
        ]
    }


@then("within {wait_s:d} s the next leader would resume all from these")
def _would_resume_all(context, wait_s):
    found = context.bridge.call(_wait_resumable, context, wait_s)
    assert found == context.checkpoints, sum(map(bool, found.values()))


async def _wait_resumable(context, wait_s):
    """Return the checkpoints on record, once they are as expected.

    The VM goes on reporting meanwhile, as its lease would expire otherwise.
    """
    found = {}
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_report_steadily, context)
        with trio.move_on_after(wait_s):
            while found != context.checkpoints:
                await trio.sleep(0.2)
                found = await _read_checkpoints(context)
        nursery.cancel_scope.cancel()
    return found


async def _report_steadily(context):
    while True:
        await send_report(context, "vm1", **context.reported)
        await trio.sleep(0.2)


async def _read_checkpoints(context):
    store = make_store(context.store_address)
    kv = await store.get(keys.HEAD)
    contents = await read_log(store, unpack(Head, kv.value))
    (record,) = contents.registry.workflows.values()
    return {task_id: task.checkpoint for task_id, task in record.tasks.items()}


@then("within {wait_s:d} s all {count:d} are accepted")
def _all_accepted(context, wait_s, count):
    def are_recorded():
        workflows = context.leader._registry.workflows.values()
        return sum(bool(record.shown) for record in workflows) == count

    assert _wait(context, are_recorded, wait_s), context.outcomes[:5]


@given(
    "a leader on a link of {mbps:d} Mbit/s, with VMs of which vm1 answers no "
    "order"
)
def _leader_on_link(context, mbps):
    context.agents = {}
    context.fences = {}
    context.vm_labels = {}
    context.interference = Interference()
    context.bridge.call(
        functools.partial(_open_leader, context, link_mbps=float(mbps))
    )
    for vm in ("vm1", "vm2", "vm3", "vm4"):
        follow(context, vm)

    async def ignore_orders():
        context.agents["vm1"].can_read = trio.Event()

    context.bridge.call(ignore_orders)


@when(
    "a workflow of {count:d} tasks with a specification of {size:d} bytes is "
    "submitted"
)
def _large_submitted(context, count, size):
    workflow = make_workflow([Step(count=count, needs=Capacity(millicores=1))])
    workflow.spec = "s" * size
    context.bridge.call(
        functools.partial(context.leader.submit, workflow, request_id="r")
    )


@then(
    "within {wait_s:d} s each of the others is ordered to start {count:d} "
    "tasks at least"
)
def _others_ordered(context, wait_s, count):
    others = [context.agents[vm] for vm in ("vm2", "vm3", "vm4")]

    def are_ordered():
        return all(len(agent.started) >= count for agent in others)

    assert _wait(context, are_ordered, wait_s), [
        len(agent.started) for agent in others
    ]


@given("the other VMs answer no order either")
def _no_answers(context):
    async def ignore_orders():
        for agent in context.agents.values():
            agent.can_read = trio.Event()

    context.bridge.call(ignore_orders)


@when("a gang of {count:d} tasks with orders of {size:d} bytes is submitted")
def _gang_submitted(context, count, size):
    step = Step(count=count, needs=Capacity(millicores=1), gang=True)
    workflow = make_workflow([step])
    workflow.spec = "s" * size
    context.bridge.call(
        functools.partial(context.leader.submit, workflow, request_id="r")
    )


def _count_started(context):
    return sum(len(agent.started) for agent in context.agents.values())


@when("the gang is cancelled before all of its orders are sent")
def _gang_cancelled(context):
    assert _wait(context, lambda: _count_started(context), 1)
    context.bridge.call(
        functools.partial(context.leader.cancel, NAME, QUEUE, request_id="r")
    )
    context.count_started = _count_started(context)
    assert 0 < context.count_started < 40, context.count_started


@then("no further order is sent within {wait_s:g} s")
def _no_further(context, wait_s):
    context.bridge.call(trio.sleep, wait_s)
    assert _count_started(context) == context.count_started


@given("{count:d} more VMs that answer no order yet")
def _more_silent_vms(context, count):
    for number in range(count):
        vm = f"silent{number}"
        follow(context, vm)
        context.agents[vm].can_read = trio.Event()


@when("the VMs answer their orders one after the other, {gap_ms:d} ms apart")
def _answer_in_turn(context, gap_ms):
    agents = [
        agent
        for agent in context.agents.values()
        if not agent.can_read.is_set()
    ]

    async def answer():
        with trio.fail_after(2):
            while not all(agent.started for agent in agents):
                await trio.sleep(0.01)
        # What was placed last may still be committed.
        await trio.sleep(0.1)
        rounds = context.planner.rounds
        for agent in agents:
            agent.can_read.set()
            await trio.sleep(gap_ms / 1000)
        return context.planner.rounds - rounds

    context.rounds = context.bridge.call(answer)


@then("tasks were placed in no more than {count:d} rounds meanwhile")
def _few_rounds(context, count):
    assert context.rounds <= count, context.rounds


@when("best-effort workflows of 1 and of 3 tasks run on both VMs")
def _best_effort_on_both(context):
    context.by_size = ["e" * 16, "a" * 16]
    fields = {"fills": True, "image": IMAGE, "estimated_ms": 9000}
    for count, name in zip((1, 3), context.by_size, strict=True):
        _submit(context, count=count, name=name, **fields)
    agents = context.agents.values()
    assert _wait(
        context, lambda: sum(len(agent.started) for agent in agents) == 4, 3
    )


def _told_ranks(context):
    """Return the ranks of the tasks that the VMs report as running."""
    ranks = {}
    for vm, agent in context.agents.items():
        running = [
            RunningTask(task_id=order.task_id, attempt=order.attempt)
            for order in agent.started
        ]
        ack = _report(context, vm, running=running)
        ranks.update({item.task_id: item.rank for item in ack.precedence})
    return ranks


@then("within {wait_s:d} s each VM is told to favour the smaller workflow")
def _told_to_favour(context, wait_s):
    small, large = context.by_size
    wanted = {f"{small}.0.0.0": 0}
    wanted |= {f"{large}.0.0.{index}": 1 for index in range(3)}
    deadline_s = time.monotonic() + wait_s
    while (told := _told_ranks(context)) != wanted:
        assert time.monotonic() < deadline_s, told
