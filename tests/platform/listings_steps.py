"""Steps for the listings of a runner of the platform."""

import json

import trio
import trio.testing
from behave import given
from behave import then
from behave import when

from radishlanding.http import HttpResponse
from radishlanding.message import TaskOrder
from radishlanding.platform import Runner
from radishlanding.vm import Capacity
from radishlanding.worker import WorkerUnavailable
from tests.platform.open_permit import OpenPermit
from tests.standin.open_platform import serve_until_cancelled

BORN_MS = 1700
TASK = "0123456789abcdef.0.0.0"
ORDER = TaskOrder(task_id=TASK, attempt=1, spec="", reserved=Capacity())
ANSWERS = {
    "no JSON": b"{",
    "a list": b"[1]",
    "200000 levels": b'{"clockMs":1,"x":' + b"[" * 200_000 + b"]" * 200_000,
    "an object": b'{"clockMs":{}}',
    "rows of text": b'{"clockMs":"1","running":["a"],"ended":["b"]}',
    "rows of other lengths": b'{"clockMs":[],"running":[[1]],"ended":[[]]}',
    "numbers of 10^30": b'{"clockMs":1%b}' % (b"0" * 30),
    "infinite numbers": b'{"clockMs":1e999}',
    "negative numbers": b'{"clockMs":-1}',
    "unpaired surrogates": b'{"clockMs":1,"reason":"\\ud800"}',
}


class RecordingRunner:
    """Record listing calls; answer them as one boot of a runner."""

    __slots__ = ("answers_starts", "body", "born_ms", "listings")

    def __init__(self, *, born_ms, body=None):
        """Create a runner.

        :param born_ms: Start of its boot, in Unix milliseconds.
        :param body: Body of every answer, None for valid ones.
        """
        self.answers_starts = True
        self.body = body
        self.born_ms = born_ms
        self.listings = []

    async def respond(self, req):
        """Return the response to a call."""
        if self.body is not None:
            return HttpResponse(status=200, body=self.body)
        if req.path[1] == "run-start" and not self.answers_starts:
            await trio.sleep_forever()
        if req.path[1] == "hold":
            self.listings.append(json.loads(req.body))
        return HttpResponse.of_json(
            {
                "clockMs": 5000,
                "born": self.born_ms,
                "running": [],
                "ended": [],
            }
        )


async def _open(context, body=None):
    """Serve a runner in a nursery of its own, so that it can end."""
    context.served = RecordingRunner(born_ms=BORN_MS, body=body)
    context.boot_scope = trio.CancelScope()
    context.address = await context.bridge.nursery.start(
        serve_until_cancelled,
        context.served,
        context.boot_scope,
        "127.0.0.1:0",
    )
    context.runner = Runner(address=context.address, worker_id="i-1")


async def _list_attempts(context, *, born_ms=BORN_MS):
    return await context.runner.list_attempts(
        fence=7,
        born_ms=born_ms,
        settled_number=86,
        deadline_ms=9000,
        wait_s=0,
    )


@given("a worker of the platform that has settled 86 ends")
def _settled(context):
    async def list_twice():
        await _open(context)
        for _ in range(2):
            await _list_attempts(context)

    context.bridge.call(list_twice)
    assert context.served.listings[-1]["ackedUpto"] == 86


@when("it starts again under its name, and the next listing is requested")
def _starts_again(context):
    async def restart():
        context.boot_scope.cancel()
        await trio.testing.wait_all_tasks_blocked()
        context.served = RecordingRunner(born_ms=BORN_MS + 1)
        context.boot_scope = trio.CancelScope()
        await context.bridge.nursery.start(
            serve_until_cancelled,
            context.served,
            context.boot_scope,
            context.address,
        )
        with trio.fail_after(2):
            while not context.served.listings:
                try:
                    await _list_attempts(context)
                except WorkerUnavailable:
                    await trio.sleep(0.01)

    context.bridge.call(restart)


@then("that listing settled no end and set no deadline")
def _settles_none(context):
    (listing,) = context.served.listings
    assert listing["ackedUpto"] == 0, listing
    assert "deadlineMs" not in listing, listing


@then("the listing after it settles ends of the new boot")
def _settles(context):
    context.bridge.call(_list_attempts, context, born_ms=BORN_MS + 1)
    assert context.served.listings[-1]["ackedUpto"] == 86
    assert context.served.listings[-1]["deadlineMs"] == 9000


@when("it answers no start, and {count:d} starts are called")
def _starts(context, count):
    async def start():
        context.served.answers_starts = False
        for _ in range(count):
            context.bridge.nursery.start_soon(_start_unanswered, context)
        await trio.sleep(0.1)

    context.bridge.call(start)


async def _start_unanswered(context):
    try:
        await context.runner.start(ORDER, permit=OpenPermit())
    except WorkerUnavailable:
        return
    raise AssertionError("the start was answered")


@then("a listing is answered within {wait_s:g} s")
def _is_answered(context, wait_s):
    async def list_attempts():
        with trio.fail_after(wait_s):
            await _list_attempts(context)

    context.bridge.call(list_attempts)


@given("a worker of the platform whose answers are {damage}")
def _damaged(context, damage):
    context.bridge.call(_open, context, ANSWERS[damage])


@then("a listing and a start find the worker unavailable")
def _unavailable(context):
    async def call():
        await _start_unanswered(context)
        try:
            await _list_attempts(context)
        except WorkerUnavailable:
            return
        raise AssertionError("the listing was decoded")

    context.bridge.call(call)


@given("a worker of the platform that lists {count:d} ends")
def _lists_ends(context, count):
    rows = [[n, TASK, n, "done", ""] for n in range(1, count + 1)]
    body = json.dumps({"clockMs": 1, "running": [], "ended": rows})
    context.bridge.call(_open, context, body.encode())


@then("the listing is {extent:w}")
def _extent(context, extent):
    listing = context.bridge.call(_list_attempts, context)
    assert listing.is_complete == (extent == "complete"), len(listing.ended)


@given(
    "a worker of the platform that lists checkpoints of {size:d} characters"
)
def _lists_checkpoints(context, size):
    context.checkpoint = "c" * size
    body = {
        "clockMs": 1,
        "running": [[TASK, 1, context.checkpoint, 50]],
        "ended": [[1, TASK, 0, "stopped", context.checkpoint]],
    }
    context.bridge.call(_open, context, json.dumps(body).encode())


@then("the listing has both attempts, and their checkpoints are {kept}")
def _has_checkpoints(context, kept):
    listing = context.bridge.call(_list_attempts, context)
    rows = [*listing.running, *listing.ended]
    expected = context.checkpoint if kept == "part" else ""
    assert [row.attempt for row in rows] == [1, 0], rows
    assert {row.checkpoint for row in rows} == {expected}
