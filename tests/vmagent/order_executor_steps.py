"""Steps for the execution of orders on a worker that answers late."""

import dataclasses

import trio
from behave import given
from behave import then
from behave import when

from radishlanding.message import StartOrders
from radishlanding.message import TaskOrder
from radishlanding.observe import Counters
from radishlanding.platform import Runner
from radishlanding.vm import boot_clock_s
from radishlanding.vm import Capacity
from radishlanding.vm import clock_ms
from radishlanding.vm import VmLease
from radishlanding.vmagent.worker_registry import WorkerRegistry
from radishlanding.vmagent.worker_supervisor import WorkerSupervisor
from radishlanding.worker import WorkerReport
from radishlanding.workflow import EndKind
from tests.standin.open_platform import serve
from tests.vmagent.unanswering_runner import UnansweringRunner

REPORT = WorkerReport(
    worker_id="i-1",
    born_ms=1000,
    number=1,
    pool="order-desk",
    address="",
    zone="z0",
    labels=[],
    capacity=Capacity(millicores=64000, memory_mb=64000),
    is_draining=False,
    remaining_ms=0,
)


def _task(index):
    return f"0123456789abcdef.0.0.{index}"


async def _open(context, answers_start):
    await open_agent(context, UnansweringRunner(answers_start=answers_start))


async def open_agent(context, runner):
    """Run a supervisor, with a lease, of a runner that is served here."""
    context.runner = runner
    address = await serve(context.bridge.nursery, context.runner)
    context.supervisor = WorkerSupervisor(
        report=dataclasses.replace(REPORT, address=address),
        make_worker=lambda report: Runner(
            address=report.address, worker_id=report.worker_id
        ),
        vm_lease_s=30.0,
        hold_max_s=10.0,
        nursery=context.bridge.nursery,
        counters=Counters(),
    )
    context.supervisor.lease.extend(sent_s=boot_clock_s())
    context.supervisor.use_fence(7)
    context.bridge.nursery.start_soon(context.supervisor.run)
    with trio.fail_after(3):
        while not context.supervisor.has_synced:
            await trio.sleep(0.01)


@given("an agent whose worker answers none of its first {count:d} starts")
def _answers_none(context, count):
    context.bridge.call(_open, context, lambda number: number >= count)


@given("an agent whose worker answers every second start")
def _answers_half(context):
    context.bridge.call(_open, context, lambda number: number % 2 == 1)


@given("an agent whose worker accepts connections {delay_s:g} s late")
def _accepts_late(context, delay_s):
    context.bridge.call(_open, context, lambda _number: True)
    context.connect_delay_s = delay_s
    _delay_connections(context)


def _delay_connections(context):
    """Open TCP connections late, as those to a busy VM are."""
    open_stream = trio.open_tcp_stream

    async def open_late(host, port, **options):
        await trio.sleep(context.connect_delay_s)
        return await open_stream(host, port, **options)

    def restore():
        trio.open_tcp_stream = open_stream

    context.add_cleanup(restore)
    trio.open_tcp_stream = open_late


def order_attempts(context, indexes):
    """Order a first attempt of each task."""
    context.tasks = [_task(index) for index in indexes]
    context.supervisor.start(
        StartOrders(
            vm=context.supervisor.vm,
            epoch=1,
            boot=context.supervisor.report.boot,
            clock_echo_ms=clock_ms(),
            orders=[
                TaskOrder(
                    task_id=task, attempt=1, spec="", reserved=Capacity()
                )
                for task in context.tasks
            ],
        ),
        clock_ms=clock_ms(),
    )


def _stop_all(context):
    context.supervisor.stop([(task, 1) for task in context.tasks])


def _deregister(context):
    registry = WorkerRegistry(
        make_worker=None, vm_lease_s=30.0, hold_max_s=10.0, counters=Counters()
    )
    registry.supervisors[context.supervisor.vm] = context.supervisor
    registry.worker_left(REPORT.worker_id)


def _end_lease(context):
    context.supervisor.lease = VmLease(duration_s=30.0)


def _update(context, **changes):
    context.supervisor.update(
        dataclasses.replace(context.supervisor.report, **changes)
    )


CHANGES = {
    "they are stopped": _stop_all,
    "the worker starts to drain": lambda context: _update(
        context, is_draining=True, number=2
    ),
    "the worker deregisters": _deregister,
    "a new boot reports": lambda context: _update(
        context, born_ms=2000, number=1
    ),
    "the lease lapses": _end_lease,
}


@when("{count:d} attempts are ordered, and {delay_s:g} s later {change}")
def _ordered_then(context, count, delay_s, change):
    async def order_and_change():
        order_attempts(context, range(count))
        await trio.sleep(delay_s)
        context.changed_s = trio.current_time()
        CHANGES[change](context)

    context.bridge.call(order_and_change)


@then("no start is sent later than {wait_s:g} s after that")
def _none_sent(context, wait_s):
    async def wait():
        await trio.sleep_until(context.changed_s + 4)

    context.bridge.call(_note_ends, context)
    context.bridge.call(wait)
    late = {
        task: time_s - context.changed_s
        for task, time_s in context.runner.arrivals_of("run-start").items()
        if time_s > context.changed_s + wait_s
    }
    assert not late, late


async def _note_ends(context):
    """Record when each attempt ends, for the 3 s after the change."""
    context.ends = {}
    while trio.current_time() < context.changed_s + 3.1:
        for task in context.supervisor.table.ended():
            context.ends.setdefault(
                task.task_id, (trio.current_time(), str(task.end))
            )
        await trio.sleep(0.01)


@then("within {wait_s:g} s of that each attempt that was not sent is {kind:w}")
def _unsent_ended(context, wait_s, kind):
    sent = context.runner.arrivals_of("run-start")
    unsent = [task for task in context.tasks if task not in sent]
    assert unsent, "every start was sent before the change"
    for task in unsent:
        ended_s, found = context.ends.get(task, (None, "running"))
        assert found == kind, (task, found)
        assert ended_s < context.changed_s + wait_s + 0.05, (task, ended_s)


@when("an attempt runs, 40 others are ordered, and it is stopped")
def _runs_and_stopped(context):
    async def start_and_stop():
        # It runs already when the agent comes, so that its start is answered.
        context.runner.running[_task(99)] = 1
        with trio.fail_after(2):
            while context.supervisor.table.get(_task(99), 1) is None:
                await trio.sleep(0.01)
        order_attempts(context, range(40))
        await trio.sleep(0.3)
        context.changed_s = trio.current_time()
        context.supervisor.stop([(_task(99), 1)])
        await trio.sleep(0.5)

    context.bridge.call(start_and_stop)


@then("its stop is sent within {wait_s:g} s")
def _stop_sent(context, wait_s):
    _check_arrival(context, "run-stop", _task(99), wait_s)


def _check_arrival(context, call, task, wait_s):
    """Check that a call arrived within a time after the change."""
    sent_s = context.runner.first_arrival_of(call, task)
    assert sent_s is not None, f"no {call} was sent"
    assert sent_s < context.changed_s + wait_s, sent_s - context.changed_s


@when("40 attempts are ordered, and a pace is set")
def _ordered_and_paced(context):
    async def order_and_pace():
        order_attempts(context, range(40))
        await trio.sleep(0.3)
        context.changed_s = trio.current_time()
        with trio.move_on_after(0.5):
            await context.supervisor.worker.pace(
                _task(99), 1, percent=50, fence=7
            )

    context.bridge.call(order_and_pace)


@then("the pace is sent within {wait_s:g} s")
def _pace_sent(context, wait_s):
    _check_arrival(context, "pace", _task(99), wait_s)


@when("{count:d} attempts are ordered")
def _ordered(context, count):
    async def order():
        order_attempts(context, range(count))

    context.bridge.call(order)


@then("each of them has been sent within {wait_s:g} s")
def _all_sent(context, wait_s):
    context.bridge.call(trio.sleep, wait_s)
    sent = context.runner.arrivals_of("run-start")
    unsent = [task for task in context.tasks if task not in sent]
    assert not unsent, (len(unsent), unsent)


@when("100 attempts are ordered, and one more 3 s later")
def _ordered_hundred(context):
    async def order_twice():
        order_attempts(context, range(100))
        await trio.sleep(3.0)
        sent = context.runner.arrivals_of("run-start")
        context.unsent = [task for task in context.tasks if task not in sent]
        context.ended = {
            task.task_id: str(task.end)
            for task in context.supervisor.table.ended()
        }
        context.changed_s = trio.current_time()
        order_attempts(context, [100])
        await trio.sleep(1.0)

    context.bridge.call(order_twice)


@then("each of the 100 that was not sent has been reported as not_run")
def _hundred_not_run(context):
    assert context.unsent, "every start was sent"
    found = {task: context.ended.get(task) for task in context.unsent}
    assert set(found.values()) == {"not_run"}, found


@then("the one more is sent within {wait_s:g} s")
def _one_more_sent(context, wait_s):
    _check_arrival(context, "run-start", _task(100), wait_s)


@given("an agent whose worker answers no start and no stop")
def _answers_nothing(context):
    context.bridge.call(_open, context, lambda _number: False)
    context.runner.answers_stops = False


@then("within {wait_s:g} s at most {count:d} of them have been sent")
def _few_sent(context, wait_s, count):
    context.bridge.call(trio.sleep, wait_s)
    sent = context.runner.arrivals_of("run-start")
    context.tasks = [task for task in context.tasks if task not in sent]
    assert len(sent) <= count, len(sent)


@then("each other one has been reported as not_run")
def _others_not_run(context):
    _check_not_run(context)


@when("{count:d} more are ordered")
def _more_ordered(context, count):
    async def order():
        order_attempts(context, range(200, 200 + count))

    context.bridge.call(order)


@then("within {wait_s:g} s each of these has been reported as not_run")
def _these_not_run(context, wait_s):
    context.bridge.call(trio.sleep, wait_s)
    _check_not_run(context)


def _check_not_run(context):
    found = [
        context.supervisor.table.get(task, 1).end for task in context.tasks
    ]
    assert set(found) == {EndKind.NOT_RUN}, found


@when(
    "the worker answers again, and {delay_s:g} s later {count:d} more are "
    "ordered"
)
def _answers_again(context, delay_s, count):
    async def answer_and_order():
        context.runner.answers_start = lambda _number: True
        context.runner.answers_stops = True
        await trio.sleep(delay_s)
        order_attempts(context, range(300, 300 + count))

    context.bridge.call(answer_and_order)


@then("within {wait_s:g} s each of these has started")
def _these_started(context, wait_s):
    context.bridge.call(trio.sleep, wait_s)
    missing = [
        task for task in context.tasks if task not in context.runner.running
    ]
    assert not missing, missing
