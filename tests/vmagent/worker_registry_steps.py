"""Steps for pings that name a worker."""

import contextlib
import functools
import time

import trio
from behave import given
from behave import then
from behave import when

from radishlanding.http import HttpClient
from radishlanding.message import StartOrders
from radishlanding.message import TaskOrder
from radishlanding.vm import Capacity
from tests.standin.open_platform import serve_until_cancelled
from tests.vmagent.departure_steps import EPOCH
from tests.vmagent.departure_steps import open_agent
from tests.vmagent.departure_steps import TASK

ODDITIES = {
    "another id and a later start": ("i-other", {"later_s": 1}),
    "the worker's id and a later start": (None, {"later_s": 1}),
    "the worker's id and an earlier start": (None, {"later_s": -60}),
    "the worker's id and start in another pool": (None, {"service": "other"}),
    "the worker's id and start, far ahead": (None, {"sequence": 10**9}),
}
NO_ROOM = {"cpu": 0, "memMb": 0, "gpu": 0}
# Fields of a ping, and the test of a reported state that shows them.
CLAIMS = {
    "drains": ({"state": "draining"}, lambda state: state.is_draining),
    "has no room": (
        {"freeCapacity": NO_ROOM},
        lambda state: state.capacity == Capacity(),
    ),
}
OTHER_TASK = "fedcba9876543210.0.0.0"


def _reports_address(context):
    return context.agent.ports["reports"]


@given("an agent process, its leader, and a worker that has not reported")
def _an_unknown_worker(context):
    open_agent(context)


@when("the agent gets a ping of another writer with {oddity}")
def _odd_ping(context, oddity):
    worker_id, changes = ODDITIES[oddity]
    changes = {"sequence": 1000, **changes}
    if "later_s" in changes:
        changes["born"] = int((time.time() + changes.pop("later_s")) * 1000)
    context.boot = context.dispatcher.reports[-1].state.boot
    context.bridge.call(
        context.runner.ping_once,
        _reports_address(context),
        worker_id=worker_id,
        **changes,
    )


@then("for {wait_s:d} s the same boot, pool and attempt are reported")
def _nothing_changes(context, wait_s):
    context.dispatcher.reports.clear()
    context.bridge.call(trio.sleep, wait_s)
    reports = context.dispatcher.reports
    assert len(reports) > 1, reports
    assert {report.state.boot for report in reports} == {context.boot}
    assert {report.state.pool for report in reports} == {context.runner.pool}
    assert not any(report.ended for report in reports), reports
    assert TASK in {task.task_id for task in reports[-1].running}


@when("the worker reports that it drains")
def _drains(context):
    context.runner.is_draining = True
    _reports_itself(context)


@when("the worker refuses one call, and reports")
def _refuses_call(context):
    context.runner.unhealthy_calls = 1
    _reports_itself(context)


@when("the worker reports")
def _reports_itself(context):
    context.bridge.call(context.runner.ping_once, _reports_address(context))


async def _until(condition, wait_s):
    with trio.move_on_after(wait_s):
        while not condition():
            await trio.sleep(0.01)
    return condition()


@then("within {wait_s:d} s the leader knows that it drains")
def _known_to_drain(context, wait_s):
    _wait_draining(context, True, wait_s)


@then("within {wait_s:d} s the leader knows that it does not drain")
def _known_to_stay(context, wait_s):
    _wait_draining(context, False, wait_s)


def _wait_draining(context, expected, wait_s):
    def is_known():
        state = context.dispatcher.reports[-1].state
        return state.is_draining == expected

    assert context.bridge.call(_until, is_known, wait_s)


@when("another writer deregisters it, and it does not answer")
def _odd_deregistration(context):
    async def deregister():
        context.runner.is_silent = True
        client = HttpClient(address=_reports_address(context))
        await client.send("DELETE", "/-/instances/i-0", timeout_s=1.0)
        await client.close()

    context.boot = context.dispatcher.reports[-1].state.boot
    context.bridge.call(deregister)


@when("the worker answers again and reports")
def _answers_again(context):
    context.runner.is_silent = False
    _reports_itself(context)


@when("another writer reports, numbered far ahead, that it {claim}")
def _claims(context, claim):
    fields, _ = CLAIMS[claim]
    context.bridge.call(
        functools.partial(
            context.runner.ping_once,
            _reports_address(context),
            sequence=10**9,
            **fields,
        )
    )


@when("the worker reports {count:d} times")
def _reports_often(context, count):
    for _ in range(count):
        _reports_itself(context)


@then("within {wait_s:d} s the leader is told that it {claim}")
def _claim_is_known(context, wait_s, claim):
    _wait_claim(context, claim, True, wait_s)


@then("within {wait_s:d} s the leader is no longer told that it {claim}")
def _claim_is_outvoted(context, wait_s, claim):
    _wait_claim(context, claim, False, wait_s)


def _wait_claim(context, claim, expected, wait_s):
    _, is_claimed = CLAIMS[claim]

    def is_known():
        state = context.dispatcher.reports[-1].state
        return is_claimed(state) == expected

    assert context.bridge.call(_until, is_known, wait_s)


@when("the worker reports {count:d} times, and then that it drains")
def _reports_and_drains(context, count):
    _reports_often(context, count)
    _drains(context)


@when("{count:d} copies of its earlier reports arrive late, in order")
def _late_copies(context, count):
    async def ping():
        for number in range(2, 2 + count):
            await context.runner.ping_once(
                _reports_address(context), sequence=number, state="ready"
            )

    context.bridge.call(ping)


@then("for {wait_s:d} s the leader is told that it drains")
def _still_drains(context, wait_s):
    context.dispatcher.reports.clear()
    context.bridge.call(trio.sleep, wait_s)
    states = [report.state for report in context.dispatcher.reports]
    assert states and all(state.is_draining for state in states), states


@when("another writer deregisters it, and its address refuses connections")
def _refuses_connections(context):
    async def deregister_and_refuse():
        client = HttpClient(address=_reports_address(context))
        await client.send("DELETE", "/-/instances/i-0", timeout_s=1.0)
        await client.close()
        context.runner_scope.cancel()

    context.bridge.call(deregister_and_refuse)


@when("another worker answers at its address")
def _other_answers(context):
    context.runner.worker_id = "i-1"


@when("the same boot is there again and reports")
def _is_there_again(context):
    async def serve_again():
        if context.runner_scope.cancel_called:
            context.runner_scope = trio.CancelScope()
            await context.bridge.nursery.start(
                serve_until_cancelled,
                context.runner,
                context.runner_scope,
                context.runner.address,
            )
        context.runner.worker_id = "i-0"
        await context.runner.ping_once(_reports_address(context))

    context.bridge.call(serve_again)


@then("within {wait_s:d} s the leader is told that the task has ended")
def _end_is_known(context, wait_s):
    def is_known():
        ended = context.dispatcher.reports[-1].ended
        return TASK in {item.task_id for item in ended}

    assert context.bridge.call(_until, is_known, wait_s)


@then("within {wait_s:d} s the run of the ended attempt is stopped")
def _run_is_stopped(context, wait_s):
    def is_stopped():
        return TASK not in context.runner.runs

    assert context.bridge.call(_until, is_stopped, wait_s)


@then("within {wait_s:d} s a task that the leader orders runs on it")
def _runs_order(context, wait_s):
    async def order_until_running():
        attempt = 0
        with trio.move_on_after(wait_s):
            while OTHER_TASK not in context.runner.runs:
                attempt += 1
                await _order(context, attempt)
                await trio.sleep(0.1)
        return OTHER_TASK in context.runner.runs

    assert context.bridge.call(order_until_running)


async def _order(context, attempt):
    """Order an attempt, as a refused one is placed again."""
    report = context.dispatcher.reports[-1]
    order = TaskOrder(
        task_id=OTHER_TASK,
        attempt=attempt,
        spec="stand",
        reserved=Capacity(),
    )
    message = StartOrders(
        vm=report.vm,
        epoch=EPOCH,
        boot=report.state.boot,
        clock_echo_ms=report.clock_ms,
        orders=[order],
    )
    await context.dispatcher.send(message)


@when("the worker starts again and its clock is set back 60 s")
def _set_back(context):
    _start_again(context, set_back_s=60)


@when("the worker starts again and has another id")
def _other_id(context):
    context.runner.worker_id = "i-1"
    _start_again(context)


def _start_again(context, **options):
    async def boot():
        context.runner.boot(**options)
        await context.runner.ping_once(_reports_address(context))

    context.boot = context.dispatcher.reports[-1].state.boot
    context.bridge.call(boot)


@then(
    "within {wait_s:d} s the leader knows its new boot, and that the task has "
    "ended"
)
def _new_boot_known(context, wait_s):
    def is_known():
        report = context.dispatcher.reports[-1]
        ended = {item.task_id for item in report.ended}
        return report.state.boot != context.boot and TASK in ended

    assert context.bridge.call(_until, is_known, wait_s), (
        context.dispatcher.reports[-1]
    )


@when(
    "the agent gets pings of {count:d} other writers with addresses of their "
    "own"
)
def _fill(context, count):
    async def ping():
        for index in range(count):
            await context.runner.ping_once(
                _reports_address(context),
                worker_id=f"i-odd-{index}",
                address=f"127.0.0.1:{1 + index}",
            )

    context.bridge.call(ping)


@then("within {wait_s:d} s the leader knows its boot")
def _boot_known(context, wait_s):
    def is_known():
        with contextlib.suppress(IndexError):
            boot = context.dispatcher.reports[-1].state.boot
            return boot.startswith(f"{context.runner.worker_id}/")
        return False

    assert context.bridge.call(_until, is_known, wait_s)


@when(
    "another writer reports it in another pool, and then it reports {count:d} "
    "times"
)
def _odd_report_first(context, count):
    async def ping():
        agent = _reports_address(context)
        await context.runner.ping_once(agent, sequence=10**9, service="other")
        with trio.fail_after(2):
            while not context.dispatcher.hellos:
                await trio.sleep(0.01)
        for _ in range(count):
            await context.runner.ping_once(agent)

    context.bridge.call(ping)


@then("within {wait_s:d} s the leader knows its pool")
def _pool_known(context, wait_s):
    def is_known():
        reports = context.dispatcher.reports
        return reports and reports[-1].state.pool == context.runner.pool

    assert context.bridge.call(_until, is_known, wait_s)
