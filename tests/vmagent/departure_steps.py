"""Steps for the exit of an agent."""

import pathlib
import signal
import tempfile

import trio
import trio.testing
from behave import given
from behave import then
from behave import when

from radishlanding.http import HttpClient
from radishlanding.vm import boot_clock_s
from radishlanding.workflow import EndKind
from tests.standin.open_platform import serve_until_cancelled
from tests.standin.platform_runner import PlatformRunner
from tests.standin.process import Process
from tests.standin.runner_run import RunnerRun
from tests.vmagent.fake_dispatcher import FakeDispatcher

TASK = "0123456789abcdef.0.0.0"
EPOCH = 5
# Nobody listens there.
NO_STORE = "127.0.0.1:1"
START_TIMEOUT_S = 10.0
VM_LEASE_S = 7.0


@given("an agent process whose worker runs a task, and its leader")
def _an_agent(context):
    open_agent(context)
    context.bridge.call(_ping, context)


@given("an agent process that is killed 2 s after a signal, and its leader")
def _an_agent_with_little_time(context):
    open_agent(context, grace_s=2.0)
    context.bridge.call(_ping, context)


def open_agent(context, **settings):
    """Start an agent, and a worker that has not reported to it yet.

    :param settings: Settings of the agent that differ from the defaults.
    """
    folder = tempfile.TemporaryDirectory(prefix="radishlanding-")
    context.add_cleanup(folder.cleanup)
    context.agent = Process(
        program="vmagent", name="side", folder=pathlib.Path(folder.name)
    )
    context.bridge.call(_open, context, settings)
    context.add_cleanup(context.agent.send, signal.SIGKILL)


async def _open(context, settings):
    nursery = context.bridge.nursery
    context.dispatcher = FakeDispatcher(epoch=EPOCH)
    await context.dispatcher.open(nursery)
    context.runner = PlatformRunner(
        worker_id="i-0", zone="z0", pool="order-desk", record=[]
    )
    context.runner_scope = trio.CancelScope()
    context.runner.address = await nursery.start(
        serve_until_cancelled,
        context.runner,
        context.runner_scope,
        "127.0.0.1:0",
    )
    context.runner.runs[TASK] = RunnerRun(
        task=TASK,
        number=1,
        spec="stand",
        checkpoint="",
        worker_id="i-0",
        zone="z0",
    )
    host, _, port = context.dispatcher.address.rpartition(":")
    await context.agent.start(
        nursery,
        {
            "id": "side",
            "zone": "z0",
            "store": NO_STORE,
            "report_listen": "127.0.0.1:0",
            "seeds": [f"{host}:1"],
            "peer_port": int(port),
            "vm_lease_s": VM_LEASE_S,
            **settings,
        },
    )


async def _ping(context):
    await context.runner.ping_once(context.agent.ports["reports"])
    with trio.fail_after(START_TIMEOUT_S):
        while not _running(context):
            await trio.sleep(0.01)


def _running(context):
    reports = context.dispatcher.reports
    return [task.task_id for task in reports[-1].running] if reports else []


@when("the leader is gone, and then the worker deregisters and ends")
def _leaves(context):
    async def leave():
        await _lose_leader(context)
        client = HttpClient(address=context.agent.ports["reports"])
        await client.send("DELETE", "/-/instances/i-0", timeout_s=1.0)
        await client.close()
        await _end_runner(context)

    context.bridge.call(leave)


@when("the leader is gone, and then the worker ends without a word")
def _dies(context):
    async def die():
        await _lose_leader(context)
        await _end_runner(context)

    context.bridge.call(die)


async def _lose_leader(context):
    context.dispatcher.epoch = 0
    # A refused report makes the agent ask who leads.
    context.dispatcher.refused_reports = 1
    with trio.fail_after(START_TIMEOUT_S):
        while context.dispatcher.refused_reports:
            await trio.sleep(0.01)


async def _end_runner(context):
    context.runner_scope.cancel()
    # Lets the server close its listeners.
    await trio.testing.wait_all_tasks_blocked()
    # Longer than the agent waits between polls that fail.
    await trio.sleep(0.3)


@when("the agent is stopped")
def _is_stopped(context):
    context.stopped_s = boot_clock_s()
    context.agent.send(signal.SIGTERM)


@when("the agent is stopped, and a leader is found 1 s later")
def _is_stopped_and_led(context):
    async def lead():
        await trio.sleep(1)
        context.dispatcher.reports.clear()
        context.dispatcher.epoch = EPOCH + 1
        await context.dispatcher.announce()

    _is_stopped(context)
    context.bridge.call(lead)


@then("that leader is told within {wait_s:g} s that the task was interrupted")
def _is_told(context, wait_s):
    async def wait():
        with trio.move_on_after(wait_s):
            while not _interrupted(context):
                await trio.sleep(0.01)

    context.bridge.call(wait)
    assert TASK in _interrupted(context), (
        context.agent.popen.poll(),
        context.dispatcher.reports,
    )


def _interrupted(context):
    return {
        item.task_id
        for report in context.dispatcher.reports
        for item in report.ended
        if item.kind == EndKind.INTERRUPTED
    }


@then(
    "once the end is on record the agent exits with status 0 within "
    "{wait_s:g} s"
)
def _exits_once_recorded(context, wait_s):
    assert context.agent.is_running
    context.stopped_s = boot_clock_s()
    context.bridge.call(
        context.dispatcher.acknowledge, context.runner.address, TASK
    )
    _exits(context, wait_s)


@then("it exits with status 0 within {wait_s:g} s")
def _exits(context, wait_s):
    status = context.bridge.call(context.agent.popen.wait)
    took_s = boot_clock_s() - context.stopped_s
    assert (status, took_s < wait_s) == (0, True), (status, took_s)
