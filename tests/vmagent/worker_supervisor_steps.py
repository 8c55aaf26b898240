"""Steps for the supervisor of a worker."""

import dataclasses
import functools

import trio
from behave import given
from behave import then
from behave import when

from radishlanding.message import StartOrders
from radishlanding.message import TaskOrder
from radishlanding.observe import Counters
from radishlanding.vm import boot_clock_s
from radishlanding.vm import Capacity
from radishlanding.vm import clock_ms
from radishlanding.vmagent.worker_poller import POLL_WAIT_S
from radishlanding.vmagent.worker_supervisor import WorkerSupervisor
from radishlanding.worker import WorkerReport
from tests.vmagent.fake_worker import FakeLeasedWorker

TASK = "0123456789abcdef.0.0.0"
REPORT = WorkerReport(
    worker_id="i-1",
    born_ms=1000,
    number=1,
    pool="order-desk",
    address="127.0.0.1:1",
    zone="z0",
    labels=["a", "rack"],
    capacity=Capacity(millicores=8000, memory_mb=8000),
    is_draining=False,
    remaining_ms=0,
)


def open_supervisor(context, worker, *, capacity=REPORT.capacity):
    """Run a supervisor of a worker that follows a leader.

    :param context: The behave context, which takes the supervisor.
    :param worker: The :class:`FakeLeasedWorker`.
    :param capacity: Capacity that the worker reports.
    """
    context.worker = worker
    context.counters = Counters()
    context.ordered_boot = REPORT.boot
    context.bridge.call(
        functools.partial(_open_supervisor, context, capacity=capacity)
    )


async def _open_supervisor(
    context, *, has_lease=True, number=1, capacity=REPORT.capacity
):
    await _create_supervisor(
        context, has_lease=has_lease, number=number, capacity=capacity
    )
    with trio.fail_after(2):
        while not context.supervisor.has_synced:
            await trio.sleep(0.01)


async def _create_supervisor(
    context, *, has_lease=True, number=1, capacity=REPORT.capacity
):
    nursery = context.bridge.nursery
    context.supervisor = WorkerSupervisor(
        report=dataclasses.replace(REPORT, number=number, capacity=capacity),
        make_worker=lambda _report: context.worker,
        vm_lease_s=30.0,
        hold_max_s=10.0,
        nursery=nursery,
        counters=context.counters,
    )
    if has_lease:
        context.supervisor.lease.extend(sent_s=boot_clock_s())
    context.supervisor.use_fence(7)
    nursery.start_soon(context.supervisor.run)


@given("a supervisor whose worker loses the answers to {count:d} starts")
@given("a supervisor whose worker loses the answer to {count:d} start")
def _loses(context, count):
    open_supervisor(context, FakeLeasedWorker(lost_starts=count))


@given("a supervisor whose worker has no free capacity")
def _has_no_capacity(context):
    open_supervisor(context, FakeLeasedWorker(has_capacity=False))


@given(
    "a supervisor whose worker loses the answer to {count:d} start and then "
    "has no free capacity"
)
def _loses_and_full(context, count):
    open_supervisor(
        context, FakeLeasedWorker(lost_starts=count, has_capacity=False)
    )


@given("a supervisor whose worker runs nothing")
def _runs_nothing(context):
    open_supervisor(context, FakeLeasedWorker())


@given("a supervisor whose worker runs an attempt")
def _runs(context):
    open_supervisor(context, FakeLeasedWorker())
    _order(context)
    context.bridge.call(_wait, context, lambda task: task.is_confirmed, 2)


@given("a worker that runs an attempt of an earlier agent")
def _runs_already(context):
    context.worker = FakeLeasedWorker()
    context.worker.running[(TASK, 1)] = "c9"


@given(
    "a worker that runs an attempt of an earlier agent, which has paused it"
)
def _runs_paused(context):
    _runs_already(context)
    context.worker.paces[(TASK, 1)] = 0


@when("the leader sends the order, which marks the attempt as best-effort")
def _order_is_sent(context):
    async def attach():
        await _wait(context, lambda task: True, 2)
        context.supervisor.table.attach_orders(
            [
                TaskOrder(
                    task_id=TASK,
                    attempt=1,
                    spec="work",
                    reserved=Capacity(),
                    fills=True,
                )
            ]
        )

    context.bridge.call(attach)


@then("within {wait_s:d} s the pace of the attempt is {percent:d} percent")
def _pace_is(context, wait_s, percent):
    async def wait():
        with trio.move_on_after(wait_s):
            while context.worker.paces[(TASK, 1)] != percent:
                await trio.sleep(0.01)

    context.bridge.call(wait)
    assert context.worker.paces[(TASK, 1)] == percent, context.worker.paces


@given("a worker whose first {count:d} ends were settled by an earlier agent")
def _has_settled_ends(context, count):
    context.worker = FakeLeasedWorker()
    context.worker.settled_number = count


@when("two attempts end and are put on record")
def _two_end(context):
    async def end_two():
        for attempt in (1, 2):
            _start_attempt(context, attempt)
            with trio.fail_after(2):
                while (TASK, attempt) not in context.worker.running:
                    await trio.sleep(0.01)
        for attempt in (1, 2):
            await context.worker.finish(TASK, attempt, "done")
        with trio.fail_after(2):
            while len(context.supervisor.end_reports()) < 2:
                await trio.sleep(0.01)
        context.supervisor.table.settle([(TASK, 1), (TASK, 2)])

    context.bridge.call(end_two)


@then("within {wait_s:d} s all {count:d} ends are settled at the worker")
def _all_settled(context, wait_s, count):
    async def wait():
        with trio.move_on_after(wait_s):
            while context.worker.settled_number != count:
                await trio.sleep(0.01)

    context.bridge.call(wait)
    assert context.worker.settled_number == count


@then("the supervisor polls at most {count:d} times in {wait_s:d} s")
def _few_polls(context, count, wait_s):
    before = context.worker.polls
    context.bridge.call(trio.sleep, wait_s)
    assert context.worker.polls - before <= count, context.worker.polls


@when("a supervisor follows a leader")
def _follows(context):
    open_supervisor(context, context.worker)


@when(
    "a supervisor follows a leader that grants no lease, and the worker "
    "stops answering"
)
def _follows_without_lease(context):
    async def open_and_cut_off():
        await _open_supervisor(context, has_lease=False, number=2)
        context.worker.is_unreachable = True

    context.counters = Counters()
    context.bridge.call(open_and_cut_off)


def _start_attempt(context, attempt, *, age_ms=0, boot=None):
    context.supervisor.start(
        StartOrders(
            vm=REPORT.address,
            epoch=1,
            boot=boot or context.supervisor.report.boot,
            clock_echo_ms=clock_ms() - age_ms,
            orders=[
                TaskOrder(
                    task_id=TASK,
                    attempt=attempt,
                    spec="work",
                    reserved=Capacity(millicores=500),
                )
            ],
        ),
        clock_ms=clock_ms(),
    )


def _order(context, **options):
    async def start():
        _start_attempt(context, 1, **options)

    context.bridge.call(start)


@when("an attempt is ordered")
def _ordered(context):
    _order(context)


@when("an attempt is ordered, and the worker lists it")
def _ordered_and_listed(context):
    _order(context)
    context.bridge.call(_wait, context, lambda task: task.is_listed, 2)


@when("an attempt is ordered on a clock {age_ms:d} ms old")
def _ordered_late(context, age_ms):
    _order(context, age_ms=age_ms)


@when("an attempt is ordered for the earlier boot")
def _ordered_boot(context):
    _order(context, boot=REPORT.boot)


@when("an attempt is ordered, and polls go unanswered as well")
def _polls_unanswered(context):
    async def order():
        _start_attempt(context, 1)
        with trio.fail_after(2):
            while not context.worker.starts:
                await trio.sleep(0)
        context.worker.loses_polls = True

    context.bridge.call(order)


@when("the agent gives it up, and polls are answered again")
def _gives_up(context):
    async def wait_given_up():
        with trio.fail_after(6):
            while (TASK, 1) not in context.worker.forbidden:
                await trio.sleep(0.01)
        context.worker.loses_polls = False

    context.bridge.call(wait_given_up)


@when("its stop is ordered")
def _stop_is_ordered(context):
    async def stop():
        await trio.sleep(0.3)
        context.supervisor.stop([(TASK, 1)])

    context.bridge.call(stop)


@when("the worker lists it as {how}")
def _lists(context, how):
    context.bridge.call(context.worker.finish, TASK, 1, how)


@when("the worker stops answering")
def _stops_answering(context):
    context.worker.is_unreachable = True
    context.cut_off_s = boot_clock_s()


@when("the worker is reachable again")
def _reachable(context):
    context.worker.is_unreachable = False


@then("within {wait_s:g} s its VM is reported as {state:w}")
def _reported_state(context, wait_s, state):
    async def wait():
        with trio.fail_after(wait_s):
            while context.supervisor.state().is_silent != (state == "silent"):
                await context.supervisor.table.wait_changed()

    context.bridge.call(wait)


@when(
    "the worker leaves polls unanswered for {pause_s:g} s at a time, for "
    "{length_s:g} s"
)
def _flaps(context, pause_s, length_s):
    supervisor, worker = context.supervisor, context.worker

    async def flap():
        context.silent_states = []
        with trio.move_on_after(length_s):
            while True:
                worker.loses_polls = True
                while supervisor.is_responsive:
                    await trio.sleep(0.01)
                await trio.sleep(pause_s)
                context.silent_states.append(supervisor.state().is_silent)
                worker.loses_polls = False
                while not supervisor.is_responsive:
                    await trio.sleep(0.01)

    context.bridge.call(flap)


@then("its VM was never reported as silent")
def _never_silent(context):
    states = context.silent_states
    assert states and not any(states), states


def _update(context, **changes):
    report = dataclasses.replace(REPORT, **changes)

    async def update():
        context.supervisor.update(report)

    context.bridge.call(update)


@when("a new boot of the worker reports")
def _new_boot(context):
    context.worker.boot(born_ms=2000)
    _update(context, born_ms=2000)


@when("the worker restarts, and an attempt is ordered at once")
def _restarts_and_order(context):
    async def boot_and_order():
        context.worker.boot(born_ms=2000)
        _start_attempt(context, 1)
        with trio.fail_after(2):
            while not context.worker.starts:
                await trio.sleep(0)

    context.bridge.call(boot_and_order)


@when("another worker reports from its address, and then answers its poll")
def _other_worker(context):
    async def replace():
        # A poll is under way, as each waits for an end.
        context.worker.is_replaced = True
        context.worker = FakeLeasedWorker()
        context.worker.born_ms = 2000
        context.supervisor.update(
            dataclasses.replace(REPORT, worker_id="i-2", born_ms=2000)
        )
        await trio.sleep(POLL_WAIT_S + 0.3)

    context.bridge.call(replace)


@then("within 2 s an attempt that is ordered runs on the other worker")
def _runs_on_other(context):
    async def order():
        _start_attempt(context, 2)
        with trio.move_on_after(2):
            while not context.worker.starts:
                await trio.sleep(0.01)

    context.bridge.call(order)
    assert context.worker.starts == [(TASK, 2)], context.worker.starts


@when("the worker restarts without a report")
def _restarts(context):
    async def settle_one():
        await context.worker.finish(TASK, 1, "done")
        await _wait(context, lambda task: task.end is not None, 2)
        context.supervisor.table.settle([(TASK, 1)])
        while context.worker.settled_number != 1:
            await trio.sleep(0.01)
        _start_attempt(context, 2)
        while (TASK, 2) not in context.worker.running:
            await trio.sleep(0.01)
        context.worker.boot(born_ms=2000)
        with trio.fail_after(1):
            while context.supervisor.table.get(TASK, 2).end is None:
                await trio.sleep(0.01)

    context.bridge.call(settle_one)


@then("no end of the new boot is settled")
def _none_settled(context):
    async def wait_for_polls():
        await trio.sleep(0.6)

    context.bridge.call(wait_for_polls)
    assert context.worker.settled_number == 0, context.worker.settled_number


@when("the worker reports that it is draining")
def _draining(context):
    _update(context, is_draining=True, number=2)


async def _wait(context, test, timeout_s):
    with trio.fail_after(timeout_s):
        while True:
            task = context.supervisor.table.get(TASK, 1)
            if task is not None and test(task):
                return task
            await trio.sleep(0.01)


@then("within {wait_s:d} s it runs, was started once, and no end is reported")
def _it_runs(context, wait_s):
    context.bridge.call(_wait, context, lambda task: task.is_confirmed, wait_s)
    assert context.worker.starts == [(TASK, 1)], context.worker.starts
    assert context.supervisor.end_reports() == []


@then("within {wait_s:d} s its end is {kind:w}")
def _its_end(context, wait_s, kind):
    task = context.bridge.call(
        _wait, context, lambda task: task.end is not None, wait_s
    )
    assert task.end == kind, (task.end, task.end_reason)


@then("the worker has been told to refuse it")
def _told_to_refuse(context):
    assert (TASK, 1) in context.worker.forbidden


@then("the worker refuses a late copy of its start")
def _refuses_late(context):
    assert (TASK, 1) in context.worker.forbidden
    assert (TASK, 1) not in context.worker.running


@then("the worker may forget it only once the end is on record")
def _may_forget(context):
    assert context.worker.settled_number == 0

    async def settle():
        context.supervisor.table.settle([(TASK, 1)])
        with trio.fail_after(2):
            while context.worker.settled_number != 1:
                await trio.sleep(0.01)

    context.bridge.call(settle)
    assert context.supervisor.end_reports() == []


@then("within {wait_s:d} s the supervisor lists that attempt")
def _is_listed(context, wait_s):
    task = context.bridge.call(_wait, context, lambda task: True, wait_s)
    assert context.supervisor.has_synced
    assert (task.end, task.checkpoint) == (None, "c9"), task


@then("its end is not reported before its last deadline")
def _not_before(context):
    context.bridge.call(trio.sleep, 3.0)
    assert context.supervisor.end_reports() == []


@given("a supervisor whose worker delays the answers to starts")
def _delays_answers(context):
    worker = FakeLeasedWorker()
    open_supervisor(context, worker)
    worker.start_gate = trio.Event()


@when("a new boot of the worker reports before the answer arrives")
def _boot_before_answer(context):
    async def boot_and_answer():
        await trio.sleep(0.2)
        context.worker.boot(born_ms=2000)
        context.supervisor.update(dataclasses.replace(REPORT, born_ms=2000))
        with trio.fail_after(2):
            while not context.supervisor.clock.is_known:
                await trio.sleep(0.01)
        context.worker.start_gate.set()
        context.ahead_ms = []
        for _ in range(100):
            await trio.sleep(0)
            given_ms = context.supervisor.clock.deadline_ms(1.0)
            context.ahead_ms.append(given_ms - context.worker.clock_ms())

    context.bridge.call(boot_and_answer)


@then("deadlines are on the clock of the new boot")
def _on_new_clock(context):
    assert max(context.ahead_ms) <= 1001, max(context.ahead_ms)
    assert min(context.ahead_ms) > 0, min(context.ahead_ms)


@when("a new boot of the worker reports, and it stops answering")
def _boot_and_cut_off(context):
    async def boot():
        context.worker.boot(born_ms=2000)
        context.supervisor.update(dataclasses.replace(REPORT, born_ms=2000))
        with trio.fail_after(2):
            while not context.supervisor.has_synced:
                await trio.sleep(0.01)
        _start_attempt(context, 1)
        await _wait(context, lambda task: task.is_confirmed, 2)
        context.worker.is_unreachable = True

    context.bridge.call(boot)


@then("its end is reported after {wait_s:d} s and within {late_s:d} s")
def _end_between(context, wait_s, late_s):
    context.bridge.call(trio.sleep, wait_s)
    assert context.supervisor.end_reports() == [], (
        context.supervisor.end_reports()
    )
    task = context.bridge.call(
        _wait, context, lambda task: task.end is not None, late_s - wait_s
    )
    assert task.end == "interrupted", task.end


@when("it is given the tokens {first:d} and {second:d}, in this order")
def _two_tokens(context, first, second):
    async def use():
        context.supervisor.use_fence(first)
        context.supervisor.use_fence(second)

    context.bridge.call(use)


@then("within {wait_s:d} s it has listed its worker under token {fence:d}")
def _listed_under(context, wait_s, fence):
    async def wait():
        with trio.move_on_after(wait_s):
            while not context.supervisor.has_synced:
                await trio.sleep(0.01)

    context.bridge.call(wait)
    assert context.supervisor.has_synced
    assert context.supervisor.fence == fence, context.supervisor.fence


@when("it is given its token again")
def _same_token(context):
    async def use():
        context.supervisor.use_fence(context.supervisor.fence)
        context.is_listed = context.supervisor.has_synced

    context.bridge.call(use)


@then("it has still listed its worker")
def _still_listed(context):
    assert context.is_listed


@given(
    "a supervisor of {count:d} attempts whose worker lists {limit:d} ends at "
    "a time"
)
def _lists_few_ends(context, count, limit):
    worker = FakeLeasedWorker()
    worker.ends_per_list = limit
    open_supervisor(context, worker)
    context.reported = {}

    async def start():
        for attempt in range(1, count + 1):
            _start_attempt(context, attempt)
        with trio.fail_after(2):
            while not all(
                context.supervisor.table.get(TASK, attempt).is_listed
                for attempt in range(1, count + 1)
            ):
                await trio.sleep(0.01)

    context.bridge.call(start)


def _collect_reports(context):
    for end in context.supervisor.end_reports():
        context.reported[end.attempt] = end.kind


@when("all {count:d} are done before an end is on record")
def _all_done(context, count):
    async def finish():
        for attempt in range(1, count + 1):
            await context.worker.finish(TASK, attempt, "done")

    context.bridge.call(finish)


@then("no end but done is reported within {wait_s:d} s")
def _only_done(context, wait_s):
    context.bridge.call(trio.sleep, wait_s)
    _collect_reports(context)
    assert set(context.reported.values()) == {"done"}, context.reported


@when("each reported end is put on record")
def _put_on_record(context):
    async def put():
        while True:
            _collect_reports(context)
            context.supervisor.table.settle(
                [(TASK, attempt) for attempt in context.reported]
            )
            await trio.sleep(0.02)

    context.bridge.spawn(put)


@then("within {wait_s:d} s all {count:d} were reported as done")
def _all_reported(context, wait_s, count):
    expected = dict.fromkeys(range(1, count + 1), "done")

    async def wait():
        with trio.move_on_after(wait_s):
            while context.reported != expected:
                await trio.sleep(0.01)

    context.bridge.call(wait)
    assert context.reported == expected, context.reported


@given(
    "a worker with {count:d} ends of an earlier agent that lists {limit:d} at "
    "a time"
)
def _has_open_ends(context, count, limit):
    context.worker = FakeLeasedWorker()
    context.worker.ends_per_list = limit
    context.reported = {}

    async def finish():
        for attempt in range(1, count + 1):
            context.worker.running[(TASK, attempt)] = ""
            await context.worker.finish(TASK, attempt, "done")

    context.bridge.call(finish)


@when("a supervisor follows a leader and may not know all ends")
def _follows_partly(context):
    context.counters = Counters()
    context.bridge.call(_create_supervisor, context)
    context.bridge.call(trio.sleep, 0.3)


@then("it reports ends, and not that this is all")
def _reports_part(context):
    assert context.supervisor.can_report
    assert context.supervisor.end_reports()
    assert not context.supervisor.has_synced


@then("it reports that this is all")
def _reports_all(context):
    async def wait():
        with trio.move_on_after(1):
            while not context.supervisor.has_synced:
                await trio.sleep(0.01)

    context.bridge.call(wait)
    assert context.supervisor.has_synced
