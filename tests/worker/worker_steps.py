"""Steps for the contract of the worker."""

import functools
import json

import trio
from behave import given
from behave import then
from behave import when

from radishlanding.http import HttpServer
from radishlanding.message import StartTask
from radishlanding.vm import Capacity
from radishlanding.worker import HttpWorker
from radishlanding.worker import WorkerRefused
from radishlanding.worker import WorkerUnavailable
from tests.standin.proxy import Proxy
from tests.standin.record import now_s
from tests.standin.record import Record
from tests.standin.worker import FakeWorker


@given("a worker of {millicores:d} millicores behind a proxy")
def _worker(context, millicores):
    context.proxy = Proxy()
    context.record = Record()
    context.bridge.call(_open_worker, context, millicores)


async def _open_worker(context, millicores):
    standin = FakeWorker(
        vm="vm1",
        zone="bole",
        capacity=Capacity(millicores=millicores, memory_mb=8000),
        record=context.record,
    )
    nursery = context.bridge.nursery
    port = await nursery.start(
        functools.partial(
            HttpServer(handler=standin).run, host="127.0.0.1", port=0
        )
    )
    nursery.start_soon(standin.sweep)
    context.proxy.upstream = f"127.0.0.1:{port}"
    await context.proxy.start(nursery)
    context.worker = HttpWorker(address=context.proxy.address)


def _run(context, epoch, work_s, lease_s):
    start = StartTask(
        task_id="j/0",
        epoch=epoch,
        owner_epoch=1,
        incarnation="me",
        clock_echo_ms=1,
        revision=1,
        needs=Capacity(millicores=1000, memory_mb=100),
        checkpoint="",
        organisation="abay-reef",
        template="tank-watch",
        parameters=json.dumps({"work_s": work_s}),
        checkpoint_every_s=0.0,
    )
    run = functools.partial(context.worker.run, start, lease_s=lease_s)
    context.bridge.call(run)


@when(
    "task j/0 is run under epoch {epoch:d} for {work_s:g} s of work and a "
    "lease of {lease_s:g} s"
)
def _is_run(context, epoch, work_s, lease_s):
    _run(context, epoch, work_s, lease_s)


@then("the worker lists {task_id} as {state} under epoch {epoch:d}")
def _lists(context, task_id, state, epoch):
    listed = context.bridge.call(context.worker.list)
    found = [(item.task_id, item.state, item.epoch) for item in listed]
    assert found == [(task_id, state, epoch)], found


@then("within 1 s the worker lists j/0 as stopped under epoch 1")
def _within_1_s(context):
    context.bridge.call(trio.sleep, 1.0)
    _lists(context, "j/0", "stopped", 1)


@when("j/0 is throttled to 0, checkpointed and stopped")
def _throttled(context):
    call = context.bridge.call
    call(functools.partial(context.worker.throttle, "j/0", 1, share=0.0))
    context.checkpoint = call(context.worker.checkpoint, "j/0", 1)
    call(context.worker.stop, "j/0", 1)


@then("its work ended at the checkpoint")
def _ended_at_checkpoint(context):
    run = context.record.runs[0]
    assert run.was_evicted and run.checkpoints == [context.checkpoint]


@when("j/0 is forgotten")
def _is_forgotten(context):
    context.bridge.call(context.worker.forget, "j/0", 1)


@then("the worker lists nothing")
def _lists_nothing(context):
    assert context.bridge.call(context.worker.list) == []


@then("the task was started once")
def _started_once(context):
    assert len(context.record.runs) == 1


@then("a run under epoch 1 is rejected")
def _run_is_rejected(context):
    try:
        _run(context, 1, 1.0, 1.0)
    except WorkerRefused:
        return
    raise AssertionError("the run was accepted")


@when("its lease is renewed for 5 s and 1 s passes")
def _is_renewed(context):
    context.bridge.call(
        functools.partial(context.worker.renew, [("j/0", 1)], lease_s=5.0)
    )
    context.bridge.call(trio.sleep, 1.0)


@when("the worker's connection is {fault}")
def _connection_is(context, fault):
    context.bridge.call(context.worker.list)
    if fault == "refused":
        context.bridge.call(context.proxy.refuse)
    else:
        context.proxy.blackhole(up=fault == "silent")


@then("listing its tasks fails as unavailable within 2 s")
def _listing_fails(context):
    started_s = now_s()
    try:
        context.bridge.call(context.worker.list)
    except WorkerUnavailable:
        assert now_s() - started_s < 2.0
    else:
        raise AssertionError("the worker answered")
