"""Steps for polls of a worker that leaves some of them unanswered."""

import random
import time

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
from radishlanding.vmagent.worker_supervisor import WorkerSupervisor
from radishlanding.worker import WorkerReport
from tests.standin.log_lines import captured_lines
from tests.standin.open_platform import serve
from tests.vmagent.lossy_runner import LossyRunner

TASK = "0123456789abcdef.0.0.0"
SAMPLE_INTERVAL_S = 0.02


def _record_connections(context):
    """Keep the TCP streams that are opened in the scenario."""
    open_stream = trio.open_tcp_stream
    context.streams = []

    async def open_recorded(host, port, **options):
        stream = await open_stream(host, port, **options)
        context.streams.append(stream)
        return stream

    def restore():
        trio.open_tcp_stream = open_stream

    context.add_cleanup(restore)
    trio.open_tcp_stream = open_recorded


def _open_connections(context):
    """Return how many of the recorded streams are open."""
    return sum(stream.socket.fileno() >= 0 for stream in context.streams)


async def _open(context, *, answers_starts=True):
    """Run a supervisor, with a lease, whose worker runs an attempt."""
    nursery = context.bridge.nursery
    context.runner = LossyRunner()
    context.runner.answers_starts = answers_starts
    context.runner.nursery = nursery
    address = await serve(nursery, context.runner)
    nursery.start_soon(context.runner.run_tasks)
    context.supervisor = WorkerSupervisor(
        report=WorkerReport(
            worker_id="i-1",
            born_ms=context.runner.born_ms,
            number=1,
            pool="order-desk",
            address=address,
            zone="z0",
            labels=[],
            capacity=Capacity(millicores=8000, memory_mb=8000),
            is_draining=False,
            remaining_ms=0,
        ),
        make_worker=lambda report: Runner(
            address=report.address, worker_id=report.worker_id
        ),
        vm_lease_s=60.0,
        hold_max_s=10.0,
        nursery=nursery,
        counters=Counters(),
    )
    context.supervisor.lease.extend(sent_s=boot_clock_s())
    context.supervisor.use_fence(7)
    nursery.start_soon(context.supervisor.run)
    with trio.fail_after(3):
        while not context.supervisor.has_synced:
            await trio.sleep(0.01)
    context.supervisor.start(
        StartOrders(
            vm=context.supervisor.vm,
            epoch=1,
            boot=context.supervisor.report.boot,
            clock_echo_ms=clock_ms(),
            orders=[
                TaskOrder(
                    task_id=TASK,
                    attempt=1,
                    spec="stand",
                    reserved=Capacity(millicores=500),
                )
            ],
        ),
        clock_ms=clock_ms(),
    )
    with trio.fail_after(3):
        while not _task(context).is_listed:
            await trio.sleep(0.01)


def _task(context):
    return context.supervisor.table.get(TASK, 1)


@given("an agent whose worker runs an attempt over HTTP")
def _runs(context):
    _record_connections(context)
    context.bridge.call(_open, context)


@given("an agent whose worker runs an attempt, and did not answer its start")
def _runs_unanswered(context):
    async def open_and_time_out():
        await _open(context, answers_starts=False)
        with trio.fail_after(3):
            while not _task(context).unanswered_starts:
                await trio.sleep(0.01)

    _record_connections(context)
    context.bridge.call(open_and_time_out)


@when('the worker answers the next holds as in "{row}", where x is no answer')
def _answers_row(context, row):
    async def play():
        marks = iter(row)
        context.runner.is_lost = lambda _hold: next(marks, ".") == "x"

    context.bridge.call(play)


@when("the worker leaves the next {count:d} holds with a deadline unanswered")
def _loses_deadlines(context, count):
    lost = []

    def is_lost(hold):
        if "deadlineMs" not in hold or len(lost) == count:
            return False
        lost.append(hold)
        return True

    async def play():
        context.runner.is_lost = is_lost

    context.bridge.call(play)


@when("the worker leaves half of the holds unanswered, by seed {seed:d}")
def _loses_half(context, seed):
    async def play():
        rng = random.Random(seed)
        context.runner.is_lost = lambda _hold: rng.random() < 0.5

    context.bridge.call(play)


@then("its attempt has not lapsed {wait_s:d} s later")
def _has_not_lapsed(context, wait_s):
    context.bridge.call(trio.sleep, wait_s)
    (run,) = context.runner.record
    assert context.runner.lost_s
    assert run.ended_s is None, (
        run.end_kind,
        time.monotonic() - run.ended_s,
        [boot_clock_s() - lost_s for lost_s in context.runner.lost_s],
    )


@then("a list is applied within {limit_s:g} s after the lost hold was sent")
def _is_applied(context, limit_s):
    async def wait():
        runner, task = context.runner, _task(context)
        with trio.fail_after(5):
            while not runner.lost_s or task.gauge_at_s < runner.lost_s[0]:
                await trio.sleep(0.01)
        return task.gauge_at_s - runner.lost_s[0]

    took_s = context.bridge.call(wait)
    assert took_s <= limit_s, took_s


async def _watch_connections(context, length_s):
    """Record how many connections were opened, and open at a time."""
    before, context.most_open = len(context.streams), 0
    others = _open_connections(context)
    with trio.move_on_after(length_s):
        while True:
            # Those of starts stay open; the one for lists is closed.
            found = _open_connections(context) - (others - 1)
            context.most_open = max(context.most_open, found)
            await trio.sleep(SAMPLE_INTERVAL_S)
    context.opened = len(context.streams) - before


@when("the worker answers no hold for {length_s:d} s")
def _answers_none(context, length_s):
    async def play():
        context.runner.is_lost = lambda _hold: True
        await _watch_connections(context, length_s)

    context.bridge.call(play)


@then(
    "it got at most {count:d} connections, and had at most {open_count:d} at "
    "a time"
)
def _few_connections(context, count, open_count):
    assert 0 < context.opened <= count, context.opened
    assert context.most_open <= open_count, context.most_open


@then(
    "the end of its attempt is reported after it ended, and within "
    "{limit_s:d} s"
)
def _reported_after(context, limit_s):
    (run,) = context.runner.record

    async def wait():
        with trio.fail_after(15):
            while _task(context).end is None:
                assert run.ended_s is None or (
                    time.monotonic() < run.ended_s + limit_s
                )
                await trio.sleep(0.01)

    context.bridge.call(wait)
    assert run.end_kind == "lapsed", run.end_kind


@when(
    "the worker answers all holds {delay_s:g} s late, and {wait_s:d} s have "
    "passed"
)
def _answers_late(context, delay_s, wait_s):
    context.runner.delay_s = delay_s
    context.bridge.call(trio.sleep, wait_s)


@when("the worker answers all holds for {length_s:d} s")
def _answers_all(context, length_s):
    async def watch():
        before = context.runner.holds
        await _watch_connections(context, length_s)
        context.hold_count = context.runner.holds - before

    context.bridge.call(watch)


@then("it got no connection, and {least:d} to {most:d} holds")
def _calm(context, least, most):
    assert context.opened == 0, context.opened
    assert least <= context.hold_count <= most, context.hold_count


@when("its stop is ordered, and the worker answers no stop for {length_s:d} s")
def _stop_unanswered(context, length_s):
    async def stop():
        context.runner.answers_stops = False
        context.supervisor.stop([(TASK, 1)])
        await trio.sleep(length_s - 1)
        before = context.runner.holds
        await trio.sleep(1)
        context.hold_count = context.runner.holds - before

    context.bridge.call(stop)


@then("the worker got {least:d} to {most:d} holds in the last second")
def _hold_rate(context, least, most):
    assert least <= context.hold_count <= most, context.hold_count


@then(
    "within {wait_s:d} s one late extension and {least:d} to {most:d} "
    "failures are logged"
)
def _logged(context, wait_s, least, most):
    with captured_lines("radishlanding.vmagent") as lines:
        context.bridge.call(trio.sleep, wait_s)
    (late,) = [line for line in lines if line.startswith("event=hold_late ")]
    assert 0 < int(late.partition("remaining_ms=")[2]) < 1500, late
    failures = [line for line in lines if line.startswith("event=poll_failed")]
    assert least <= len(failures) <= most, failures
    assert all(" unanswered_ms=" in line for line in failures), failures
    # One poll and 13 further ones were lost; the last ones are not logged.
    lost = sum(int(line.rpartition("lost=")[2]) for line in failures)
    assert len(failures) < lost <= 14, failures
