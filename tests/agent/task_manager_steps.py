"""Steps for the task manager of an agent."""

import functools

import trio
from behave import given
from behave import then
from behave import when

from radishlanding.agent.task_manager import TaskManager
from radishlanding.message import StartTask
from radishlanding.vm import boot_clock_s
from radishlanding.vm import Capacity
from radishlanding.vm import Ledger
from radishlanding.vm import VmLease
from radishlanding.worker import WorkerTask
from radishlanding.worker import WorkerUnavailable

LEASE_S = 8.0
NEEDS = Capacity(millicores=1000, memory_mb=100)
ENDS_AFTER_CHECKPOINT = {
    "finishes a task after its checkpoint": "done",
    "fails a task after its checkpoint": "failed",
}


class FakeWorker:
    """An in-memory worker with one unusual behaviour."""

    __slots__ = (
        "_behaviour",
        "calls",
        "checkpoints",
        "renewals",
        "runs",
        "tasks",
    )

    def __init__(self, behaviour):
        """Create a worker without tasks.

        :param behaviour: The unusual behaviour, as the steps name it.
        """
        self._behaviour = behaviour
        self.calls = []
        self.checkpoints = {}
        self.renewals = []
        self.runs = []
        self.tasks = {}

    async def list(self):
        """Return the tasks, as they were at the time of the call."""
        listed = [
            WorkerTask(
                task_id=key[0],
                epoch=key[1],
                state=state,
                needs=NEEDS,
                checkpoint=self.checkpoints.get(key, ""),
            )
            for key, state in self.tasks.items()
        ]
        if self._behaviour == "lists and runs slowly":
            await trio.sleep(0.4)
        return listed

    async def run(self, start, *, lease_s):
        """Run a task, unless it was run before."""
        key = (start.task_id, start.epoch)
        if self._behaviour == "lists and runs slowly":
            await trio.sleep(0.3)
        if key not in self.runs:
            self.runs.append(key)
            self.tasks[key] = "running"
            if self._behaviour == "loses the answer to the first run":
                raise WorkerUnavailable("no answer")
        if self._behaviour == "forgets everything after 1 s":
            await trio.sleep(1.0)
            self.tasks.clear()

    async def renew(self, keys, *, lease_s):
        """Record the call."""
        self.renewals.append((boot_clock_s(), lease_s))

    async def throttle(self, task_id, epoch, *, share):
        """Record the call."""
        self.calls.append("throttle")

    async def checkpoint(self, task_id, epoch):
        """Record the call."""
        self.calls.append("checkpoint")
        self.checkpoints[task_id, epoch] = "c1"
        if self._behaviour in ENDS_AFTER_CHECKPOINT:
            self.tasks[task_id, epoch] = ENDS_AFTER_CHECKPOINT[self._behaviour]
        return "c1"

    async def stop(self, task_id, epoch):
        """Stop the task."""
        self.calls.append("stop")
        if self.tasks[task_id, epoch] == "running":
            self.tasks[task_id, epoch] = "stopped"


class OpenGuard:
    """A guard that refuses nothing."""

    __slots__ = ()

    def task_refusal_reason(self, _start, *, now_ms):
        """Return no reason."""
        return ""


@given("a task manager whose worker {behaviour}")
def _a_task_manager(context, behaviour):
    context.worker = FakeWorker(behaviour)
    context.bridge.call(_open_task_manager, context)


@given("an agent that adopts a task of the previous agent")
def _adopts(context):
    context.worker = FakeWorker("works well")
    context.worker.tasks["j/0", 1] = "running"
    context.bridge.call(_adopt, context)


async def _adopt(context):
    lease = VmLease(duration_s=LEASE_S)
    _make_task_manager(context, lease)
    await context.task_manager.adopt()
    context.bridge.nursery.start_soon(context.task_manager.run)
    await trio.sleep(0.2)
    context.held_s = boot_clock_s()
    lease.extend(sent_s=context.held_s)


async def _open_task_manager(context):
    lease = VmLease(duration_s=LEASE_S)
    lease.extend(sent_s=boot_clock_s())
    _make_task_manager(context, lease)
    context.bridge.nursery.start_soon(context.task_manager.run)


def _make_task_manager(context, lease):
    context.task_manager = TaskManager(
        worker=context.worker,
        ledger=Ledger(capacity=Capacity(millicores=4000, memory_mb=4000)),
        vm_lease=lease,
        guard=OpenGuard(),
        worker_lease_s=4.0,
        nursery=context.bridge.nursery,
    )


def _start(context):
    start = StartTask(
        task_id="j/0",
        epoch=1,
        owner_epoch=1,
        incarnation="me",
        clock_echo_ms=0,
        revision=1,
        needs=NEEDS,
        checkpoint="",
        organisation="abay-reef",
        template="tank-watch",
        parameters="{}",
        checkpoint_every_s=0.0,
    )
    run = functools.partial(context.task_manager.start, start, now_ms=0)
    assert context.bridge.call(run) == ""


@when("a task is started while a list is being made")
def _started_during_a_list(context):
    context.bridge.call(trio.sleep, 0.35)
    _start(context)


@when("a task is started")
def _is_started(context):
    _start(context)


@when("it is evicted")
def _is_evicted(context):
    async def evict():
        context.task_manager.evict(("j/0", 1), reason="evicted")

    context.bridge.call(evict)


@when("the agent hands over 0.8 s after the lease was renewed")
def _agent_hands_over(context):
    async def hand_over():
        await _until_renewed(context.worker)
        await trio.sleep(0.8)
        context.handed_over_s = boot_clock_s()
        await context.task_manager.hand_over()

    context.bridge.call(hand_over)


@then("its last call was a renewal of 4 s")
def _last_renewal(context):
    sent_s, lease_s = context.worker.renewals[-1]
    assert lease_s == 4.0, context.worker.renewals
    assert sent_s >= context.handed_over_s, (sent_s, context.handed_over_s)


@then("it renews the lease within {wait_s:g} s of having a VM lease")
def _renews_soon(context, wait_s):
    context.bridge.call(_until_renewed, context.worker)
    sent_s, lease_s = context.worker.renewals[0]
    assert lease_s == 4.0, context.worker.renewals
    assert sent_s - context.held_s <= wait_s, (sent_s, context.held_s)


async def _until_renewed(worker):
    with trio.fail_after(5.0):
        while not worker.renewals:
            await trio.sleep(0.01)


@when("the agent is killed and another one adopts its tasks")
def _is_killed(context):
    async def wait_stopped():
        while "stop" not in context.worker.calls:
            await trio.sleep(0.01)

    context.bridge.call(wait_stopped)
    context.bridge.call(_open_task_manager, context)
    context.bridge.call(context.task_manager.adopt)


@then("it is reported with its last checkpoint")
def _last_checkpoint(context):
    (status,) = context.task_manager.statuses()
    assert status.checkpoint == "c1", status


@when("the VM lease is not extended")
def _not_extended(_context):
    """Do nothing; nobody extends it."""


@then("after {wait_s:d} s the task is {phase} and was run once")
def _the_task_is(context, wait_s, phase):
    context.bridge.call(trio.sleep, float(wait_s))
    (status,) = context.task_manager.statuses()
    assert status.phase == phase, status
    assert context.worker.runs == [("j/0", 1)], context.worker.runs


@then("the worker was asked to throttle, checkpoint, stop in that order")
def _asked_in_order(context):
    expected = ["throttle", "checkpoint", "stop"]
    assert context.worker.calls == expected, context.worker.calls
