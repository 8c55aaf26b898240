"""Steps for the links of an agent to dispatchers."""

import trio
from behave import given
from behave import then
from behave import when

from radishlanding.message import StartOrders
from radishlanding.message import TaskOrder
from radishlanding.observe import Counters
from radishlanding.peer import CallRefused
from radishlanding.vm import Capacity
from radishlanding.vm import clock_ms
from radishlanding.vmagent.dispatcher_links import DispatcherLinks
from radishlanding.vmagent.worker_supervisor import WorkerSupervisor
from radishlanding.workflow import EndKind
from tests.vmagent.fake_dispatcher import FakeDispatcher
from tests.vmagent.fake_worker import FakeLeasedWorker
from tests.vmagent.worker_supervisor_steps import REPORT

EPOCH = 5
# Longer than any message takes on the loopback interface.
QUIET_S = 0.3


async def _open(context, *, epoch, is_slow=False, tasks=0):
    nursery = context.bridge.nursery
    context.worker = FakeLeasedWorker()
    for number in range(tasks):
        context.worker.running[(_task_id(number), 1)] = ""
    context.dispatcher = FakeDispatcher(epoch=epoch)
    if is_slow:
        context.dispatcher.gate = trio.Event()
    await context.dispatcher.open(nursery)
    context.supervisor = WorkerSupervisor(
        report=REPORT,
        make_worker=lambda _report: context.worker,
        vm_lease_s=30.0,
        hold_max_s=10.0,
        nursery=nursery,
        counters=Counters(),
    )
    context.links = DispatcherLinks(
        supervisors={REPORT.address: context.supervisor}, counters=Counters()
    )
    context.links.open(nursery)
    context.links.dial({context.dispatcher.address})
    nursery.start_soon(context.supervisor.run)
    nursery.start_soon(context.links.run_reports, context.supervisor)
    await context.dispatcher.wait_hellos(1)


def _task_id(number):
    return f"0123456789abcdef.0.0.{number}"


async def _wait_followed(context, dispatcher):
    with trio.move_on_after(2):
        while context.links.leader_address != dispatcher.address:
            await trio.sleep(0.01)
    assert context.links.leader_address == dispatcher.address


@given("an agent linked to a dispatcher that leads but is slow")
def _slow_leader(context):
    context.bridge.call(_open, context, epoch=EPOCH, is_slow=True)


@given("an agent linked to a dispatcher that does not lead")
def _no_leader(context):
    context.bridge.call(_open, context, epoch=0)


@given("an agent linked to a dispatcher that does not lead and is slow")
def _slow_follower(context):
    context.bridge.call(_open, context, epoch=0, is_slow=True)


@given("an agent that follows a dispatcher")
def _follows(context):
    context.bridge.call(_open, context, epoch=EPOCH)
    context.bridge.call(_wait_followed, context, context.dispatcher)


@when(
    "the agent asks {count:d} times who leads, and the dispatcher announces "
    "itself"
)
def _asks(context, count):
    async def ask():
        for _ in range(count):
            context.links.ask_leader()
            await trio.sleep(0.02)
        await context.dispatcher.announce()
        await trio.sleep(QUIET_S)

    context.bridge.call(ask)


@when("the dispatcher answers")
def _answers(context):
    async def answer():
        context.dispatcher.gate.set()

    context.bridge.call(answer)


@when("the dispatcher announces itself again")
def _announces(context):
    context.bridge.call(context.dispatcher.announce)


@when("the dispatcher leads without announcing it, and the agent asks again")
def _leads_silently(context):
    async def lead():
        await trio.sleep(QUIET_S)
        context.dispatcher.epoch = EPOCH
        context.links.ask_leader()

    context.bridge.call(lead)


@when("the dispatcher leads and announces itself")
@when("the dispatcher leads in a later epoch and announces itself")
def _leads(context):
    async def lead():
        context.dispatcher.epoch += EPOCH
        await context.dispatcher.announce()
        await trio.sleep(QUIET_S)

    context.bridge.call(lead)


@when("the dispatcher refuses a report")
def _refuses(context):
    context.dispatcher.refused_reports = 1


@when("the agent follows a second one, which is lost")
def _second(context):
    async def follow_and_lose():
        other = FakeDispatcher(epoch=EPOCH + 1)
        await other.open(context.bridge.nursery)
        context.links.dial({other.address})
        await _wait_followed(context, other)
        other.epoch = 0
        other.close_connections()
        with trio.fail_after(2):
            while context.links.has_leader:
                await trio.sleep(0.01)

    context.bridge.call(follow_and_lose)


@when("the agent asks again")
def _asks_again(context):
    async def ask():
        context.dispatcher.epoch = EPOCH + 2
        context.links.ask_leader()

    context.bridge.call(ask)


@then("the agent follows the dispatcher after {count:d} introduction")
@then("the agent follows the dispatcher after {count:d} introductions")
def _follows_after(context, count):
    async def wait():
        with trio.move_on_after(3):
            while len(context.dispatcher.hellos) < count:
                await trio.sleep(0.01)
        await _wait_followed(context, context.dispatcher)
        await trio.sleep(QUIET_S)

    context.bridge.call(wait)
    assert len(context.dispatcher.hellos) == count, context.dispatcher.hellos
    assert context.supervisor.fence == count, context.supervisor.fence
    assert context.links.epoch == context.dispatcher.epoch


@then("reports arrive again")
def _reports_again(context):
    async def wait():
        before = len(context.dispatcher.reports)
        with trio.fail_after(3):
            while len(context.dispatcher.reports) == before:
                await trio.sleep(0.01)

    context.bridge.call(wait)


@given("an agent of {count:d} tasks that follows a dispatcher")
def _follows_with_tasks(context, count):
    async def wait_reported():
        await _wait_followed(context, context.dispatcher)
        with trio.fail_after(2):
            while not context.dispatcher.reports:
                await trio.sleep(0.01)

    context.bridge.call(_open, context, epoch=EPOCH, tasks=count)
    context.bridge.call(wait_reported)


def _ended(report):
    """Return the numbers of the tasks whose ends a report contains."""
    return [int(end.task_id.rpartition(".")[2]) for end in report.ended]


@when("task {number:d} ends and is reported")
def _ends(context, number):
    async def end():
        await context.worker.finish(_task_id(number), 1, "done")
        with trio.fail_after(2):
            while number not in _ended(context.dispatcher.reports[-1]):
                await trio.sleep(0.01)
        await trio.sleep(0.1)

    context.bridge.call(end)


@when("the dispatcher acknowledges the end of task {number:d}")
def _acknowledges(context, number):
    context.count_before = len(context.dispatcher.reports)
    context.bridge.call(
        context.dispatcher.acknowledge, REPORT.address, _task_id(number)
    )


@then("no report follows within {wait_s:g} s")
def _no_report(context, wait_s):
    context.bridge.call(trio.sleep, wait_s)
    assert len(context.dispatcher.reports) == context.count_before


@then("later reports are without ends")
def _without_ends(context):
    async def wait():
        with trio.fail_after(3):
            while len(context.dispatcher.reports) == context.count_before:
                await trio.sleep(0.01)

    context.bridge.call(wait)
    assert _ended(context.dispatcher.reports[-1]) == []


def _orders(specs, **fields):
    """Return orders with some specifications, one for each task."""
    return StartOrders(
        vm=REPORT.address,
        epoch=EPOCH,
        boot=REPORT.boot,
        clock_echo_ms=clock_ms(),
        orders=[
            TaskOrder(
                task_id=_task_id(number),
                attempt=1,
                spec=spec,
                reserved=Capacity(),
                **fields,
            )
            for number, spec in enumerate(specs)
        ],
    )


@when("3 tasks are ordered that share 2 specifications")
def _share(context):
    orders = _orders(["a", "b", "a"])
    orders.share_specs()
    assert orders.specs == ["a", "b"], orders
    context.bridge.call(context.dispatcher.send, orders)


@then("the attempts have the specifications {specs}")
def _have_specs(context, specs):
    tasks = [
        context.supervisor.table.get(_task_id(number), 1)
        for number in range(3)
    ]
    assert [task.order.spec for task in tasks] == specs.split(", "), tasks


@when("a task is ordered with a specification that is missing")
def _missing_spec(context):
    context.refusal = ""
    try:
        context.bridge.call(
            context.dispatcher.send, _orders([""], spec_number=1)
        )
    except CallRefused as exc:
        context.refusal = exc.reason


@then("the orders are refused, and there is no attempt")
def _orders_refused(context):
    assert context.refusal == "no specification 1", context.refusal
    assert not context.supervisor.table.has_attempts()


@when("the worker {is_gone} before the dispatcher leads in a later epoch")
def _gone_before(context, is_gone):
    async def change():
        _end_worker(context, is_gone)
        await trio.sleep(QUIET_S)
        await _lead_again(context)

    context.bridge.call(change)


@when("the worker {is_gone} after the dispatcher leads in a later epoch")
def _gone_after(context, is_gone):
    async def change():
        # Nothing can be listed under the token of the later epoch.
        context.worker.loses_polls = True
        await _lead_again(context)
        _end_worker(context, is_gone)

    context.bridge.call(change)


def _end_worker(context, is_gone):
    context.supervisor.is_leaving = is_gone == "deregisters, ends"
    context.worker.has_ended = context.supervisor.is_leaving
    context.worker.is_unreachable = True


async def _lead_again(context):
    context.dispatcher.epoch += EPOCH
    await context.dispatcher.announce()
    await context.dispatcher.wait_hellos(2)


@then(
    "within {wait_s:g} s a {kind} report tells it that task 0 was interrupted"
)
def _is_told(context, wait_s, kind):
    async def wait():
        with trio.move_on_after(wait_s):
            while not _shows_interruption(context, kind):
                await trio.sleep(0.01)

    context.bridge.call(wait)
    reports = context.dispatcher.reports
    assert _shows_interruption(context, kind), reports[-2:]


def _shows_interruption(context, kind):
    """Return whether a report under the newest token shows the end."""
    fence = len(context.dispatcher.hellos)
    return fence > 1 and any(
        (report.fence, report.is_full) == (fence, kind == "full")
        and (item.task_id, item.kind) == (_task_id(0), EndKind.INTERRUPTED)
        for report in context.dispatcher.reports
        for item in report.ended
    )
