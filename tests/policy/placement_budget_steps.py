"""Steps for placing tasks over a link that their orders fill."""

import collections
import random

from behave import given
from behave import then
from behave import when

from radishlanding.policy import EarliestDeadline
from radishlanding.policy import Interference
from radishlanding.policy import ORDER_OVERHEAD_BYTES
from radishlanding.policy import SendWindow
from radishlanding.policy import VmLoad
from radishlanding.policy import WorkflowPlanner
from radishlanding.vm import Capacity
from radishlanding.workflow import Assignment
from radishlanding.workflow import EndKind
from radishlanding.workflow import LogEntry
from radishlanding.workflow import Step
from radishlanding.workflow import TaskEnd
from radishlanding.workflow import TaskId
from radishlanding.workflow import WorkflowRegistry
from tests.workflow.workflow_steps import make_workflow

CAPACITY = Capacity(millicores=64_000, memory_mb=250_000)
NEEDS = Capacity(millicores=7000, memory_mb=9000)
START_MS = 1_000_000
# A commit of the assignments, which the next round has to wait for.
ROUND_MS = 200
TICK_MS = 10
# Between the arrival of an order and that of its answer.
ANSWER_MS = 50
PLAY_MS = 10_000


class Link:
    """Carry start messages, one after the other, within a window."""

    __slots__ = ("_arrivals", "_bytes_per_ms", "_free_ms", "_queue", "window")

    def __init__(self, mbps):
        self.window = SendWindow(link_mbps=mbps)
        self._arrivals = []
        self._bytes_per_ms = mbps * 1e3 / 8
        self._free_ms = START_MS
        self._queue = collections.deque()

    def queue(self, message, size_bytes):
        self.window.queue(size_bytes)
        self._queue.append((message, size_bytes))

    def advance(self, now_ms):
        """Return the messages that are answered by now."""
        answered = [item for due, item in self._arrivals if due <= now_ms]
        self._arrivals = [pair for pair in self._arrivals if pair[0] > now_ms]
        for message in answered:
            self.window.record_answer(message)
        while self._queue and self.window.may_send(
            self._queue[0][1], now_ms / 1000
        ):
            message, size_bytes = self._queue.popleft()
            self.window.record_sent(message, size_bytes, now_ms / 1000)
            sent_ms = size_bytes / self._bytes_per_ms
            self._free_ms = max(self._free_ms, now_ms) + sent_ms
            self._arrivals.append((self._free_ms + ANSWER_MS, message))
        return answered


@given(
    "{count:d} VMs of 64 processors and a leader with a link of {mbps:g} "
    "Mbit/s"
)
def _site(context, count, mbps):
    context.link = Link(mbps)
    context.round_ms = ROUND_MS
    context.interference = Interference()
    context.vms = [f"vm{number}" for number in range(count)]


@given("the leader can commit a round each {round_ms:d} ms")
def _fast_rounds(context, round_ms):
    context.round_ms = round_ms


def load_of(registry, vm, capacity=CAPACITY):
    """Return the load of a VM with the tasks that are assigned to it."""
    load = VmLoad(
        vm=vm,
        boot="b1",
        pool="order-desk",
        zone="z0",
        labels=["a", "r1"],
        capacity=capacity,
        free=capacity,
        idle_millicores=capacity.millicores,
    )
    for task in registry.tasks_on(vm):
        parsed_id = TaskId.parse(task.task_id)
        record = registry.workflows[parsed_id.workflow_id]
        load.add(parsed_id[:3], record.workflow.steps[parsed_id.step])
    return load


def _play(context, workflows, prepare=None):
    """Place tasks, and order their starts over the link."""
    registry = WorkflowRegistry()
    registry.apply(LogEntry(commit_id="a", made_ms=1, accepted=workflows))
    if prepare is not None:
        prepare(registry)
    planner = WorkflowPlanner(
        order=EarliestDeadline(),
        interference=context.interference,
        rng=random.Random(1),
    )
    context.ordered_ms, context.tasks_on = {}, collections.defaultdict(list)
    context.rounds = 0
    for now_ms in range(START_MS, START_MS + PLAY_MS, TICK_MS):
        for message in context.link.advance(now_ms):
            for task_id in message:
                context.ordered_ms[task_id] = now_ms - START_MS
        if (now_ms - START_MS) % context.round_ms == 0:
            _round(context, registry, planner, now_ms)


def _round(context, registry, planner, now_ms):
    room_bytes = context.link.window.room_bytes(now_ms / 1000)
    if not room_bytes:
        return
    assignments = planner.plan(
        list(registry.workflows.values()),
        [load_of(registry, vm) for vm in context.vms],
        now_ms=now_ms,
        max_bytes=room_bytes,
    )
    context.rounds += bool(assignments)
    registry.apply(
        LogEntry(commit_id="b", made_ms=now_ms, assignments=assignments)
    )
    messages = collections.defaultdict(list)
    for item in assignments:
        messages[item.vm].append(item.task_id)
        context.tasks_on[item.vm].append(item.task_id)
    for task_ids in messages.values():
        ids = {task_id.partition(".")[0] for task_id in task_ids}
        size_bytes = len(task_ids) * ORDER_OVERHEAD_BYTES + sum(
            len(registry.workflows[name].workflow.spec) for name in ids
        )
        context.link.queue(tuple(task_ids), size_bytes)


def _workflow(step, name, spec_bytes):
    workflow = make_workflow([step], name=name, accepted_ms=START_MS)
    workflow.spec = "s" * spec_bytes
    return workflow


@when(
    "{count:d} workflows of {tasks:d} tasks are placed, specified in "
    "{spec_bytes:d} bytes"
)
def _place_workflows(context, count, tasks, spec_bytes):
    step = Step(count=tasks, needs=NEEDS, estimated_ms=5400)
    context.tasks = count * tasks
    _play(
        context,
        [
            _workflow(step, f"{number:016x}", spec_bytes)
            for number in range(count)
        ],
    )


@when("a step of {count:d} tasks is placed that is {kind}")
def _place_apart(context, count, kind):
    step = Step(
        count=count,
        needs=NEEDS,
        estimated_ms=5400,
        fills=kind == "best-effort",
        image="image",
        max_per_vm=1 if kind == "limited by VM" else 0,
    )
    context.tasks = count
    _play(context, [_workflow(step, "0" * 16, 4000)])


@when(
    "{failed:d} tasks that failed on the first VM are placed with {others:d} "
    "others"
)
def _place_failed(context, failed, others):
    step = Step(count=failed + others, needs=NEEDS, estimated_ms=5400)

    def prepare(registry):
        _fail_tasks(context, registry, failed)

    context.tasks = failed + others
    _play(context, [_workflow(step, "0" * 16, 4000)], prepare)
    assert len(context.failed_tasks) == failed


def _fail_tasks(context, registry, count):
    """Let every fourth task of the workflow fail on the first VM."""
    (record,) = registry.workflows.values()
    tasks = record.pending_tasks(0, 0)[::4][:count]
    context.failed_tasks = [task.task_id for task in tasks]
    assignments = [
        Assignment(task_id=name, attempt=1, vm=context.vms[0], boot="b1")
        for name in context.failed_tasks
    ]
    ends = [
        TaskEnd(task_id=name, attempt=1, kind=EndKind.FAILED)
        for name in context.failed_tasks
    ]
    registry.apply(LogEntry(commit_id="c", made_ms=1, assignments=assignments))
    registry.apply(LogEntry(commit_id="d", made_ms=1, ends=ends))


@then("all of their tasks are ordered within {limit_s:g} s")
def _all_ordered(context, limit_s):
    assert len(context.ordered_ms) == context.tasks, len(context.ordered_ms)
    latest_ms = max(context.ordered_ms.values())
    assert latest_ms <= limit_s * 1000, latest_ms


@then("no VM has more than {count:d} of the tasks")
def _at_most(context, count):
    placed = {vm: len(tasks) for vm, tasks in context.tasks_on.items()}
    assert sum(placed.values()) == context.tasks, placed
    assert max(placed.values()) <= count, placed


@then("the first VM has none of the {failed:d} tasks")
def _avoided(context, failed):
    wrong = set(context.failed_tasks) & set(context.tasks_on[context.vms[0]])
    assert not wrong, wrong


@then("they were placed in no more than {count:d} rounds")
def _few_rounds(context, count):
    assert context.rounds <= count, context.rounds
