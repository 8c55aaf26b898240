"""Steps about HTTP."""

import functools
import random

import trio
from behave import given
from behave import then
from behave import when

from radishlanding.http import ExchangeFailed
from radishlanding.http import HttpClient
from radishlanding.http import HttpError
from radishlanding.http import HttpResponse
from radishlanding.http import HttpServer
from radishlanding.http import Limits

SEED = 20_261_204
GOOD = b"POST /echo HTTP/1.1\r\nhost: x\r\ncontent-length: 2\r\n\r\nhi"


class EchoHandler:
    """Echo bodies."""

    __slots__ = ("release",)

    def __init__(self):
        """Prepare a request that waits."""
        self.release = trio.Event()

    async def respond(self, req):
        """Echo the body, or do what the path says."""
        match req.path:
            case ["echo"]:
                return HttpResponse(status=200, body=req.body)
            case ["json"]:
                return HttpResponse.of_json(req.json())
            case ["fail"]:
                raise RuntimeError("asked to fail")
            case ["wait"]:
                await self.release.wait()
                return HttpResponse(status=200, body=req.body)
        raise HttpError(status=404, reason="not there")


@given("an HTTP server that echoes bodies")
def _a_server(context):
    context.handler = EchoHandler()
    context.server = HttpServer(
        handler=context.handler,
        limits=Limits(connections=8, idle_s=2.0, read_s=0.5),
    )
    run = functools.partial(context.server.run, host="127.0.0.1", port=0)
    context.port = context.bridge.call(context.bridge.nursery.start, run)


async def _exchange(port, data, *, timeout_s=3.0):
    """Send bytes and return what comes until the end."""
    received = b""
    stream = await trio.open_tcp_stream("127.0.0.1", port)
    try:
        with trio.move_on_after(timeout_s):
            await stream.send_all(data)
            while more := await stream.receive_some(65536):
                received += more
    except trio.BrokenResourceError:
        pass
    finally:
        await trio.aclose_forcefully(stream)
    return received


def _request(path, body=b"", *, length=None, extra=b""):
    return (
        b"POST %s HTTP/1.1\r\nhost: x\r\nconnection: close\r\n"
        b"content-length: %d\r\n%s\r\n%s"
        % (path, len(body) if length is None else length, extra, body)
    )


BAD_REQUESTS = {
    "no HTTP at all": b"\x16\x03\x01\x02\x00\x01\x00\r\n\r\n",
    "a request without a host": b"GET /echo HTTP/1.1\r\n\r\n",
    "headers of 64 KB": _request(b"/echo", extra=b"x: " + b"y" * 65536),
    "a body of 2 MB": _request(b"/echo", b"z" * 2 * 2**20),
    "a body that never comes": _request(b"/echo", length=10),
    "a request that makes it fail": _request(b"/fail"),
    "a path that is not there": _request(b"/nowhere"),
    "a body that is no JSON object": _request(b"/json", b"[1]"),
}


@when("a caller sends {what}")
def _sends(context, what):
    context.received = context.bridge.call(
        _exchange, context.port, BAD_REQUESTS[what]
    )


@then("the HTTP answer is {status:d}")
def _answer_is(context, status):
    head = context.received.partition(b"\r\n")[0]
    assert f" {status} " in head.decode(), context.received[:200]


@then("the server still echoes")
def _still_echoes(context):
    received = context.bridge.call(
        _exchange, context.port, _request(b"/echo", b"hello")
    )
    assert received.endswith(b"\r\n\r\nhello"), received


async def _send_mutated(port):
    rng = random.Random(SEED)
    async with trio.open_nursery() as nursery:
        for _ in range(300):
            data = bytearray(GOOD)
            for _ in range(rng.randint(1, 8)):
                data[rng.randrange(len(data))] = rng.randrange(256)
            nursery.start_soon(
                functools.partial(_exchange, port, bytes(data), timeout_s=0.2)
            )
            await trio.sleep(0.005)


@when("300 mutated requests from a fixed seed are sent")
def _mutated_requests(context):
    context.bridge.call(_send_mutated, context.port)


async def _stay(port, count):
    streams = [
        await trio.open_tcp_stream("127.0.0.1", port) for _ in range(count)
    ]
    await trio.sleep(0.2)
    closed = 0
    for stream in streams:
        with trio.move_on_after(0.02):
            try:
                closed += await stream.receive_some(1) == b""
            except trio.BrokenResourceError:
                closed += 1
        await trio.aclose_forcefully(stream)
    return closed


@when("12 callers connect to a bound of 8 and stay")
def _callers_stay(context):
    context.closed = context.bridge.call(_stay, context.port, 12)


@then("at least 4 of those callers are closed")
def _callers_are_closed(context):
    assert context.closed >= 4, context.closed


async def _drain_in_flight(context):
    async with trio.open_nursery() as nursery:

        async def wait():
            context.received = await _exchange(
                context.port,
                b"POST /wait HTTP/1.1\r\nhost: x\r\n"
                b"content-length: 5\r\n\r\nhello",
            )

        nursery.start_soon(wait)
        await trio.sleep(0.2)
        context.server.drain()
        await trio.sleep(0.2)
        try:
            stream = await trio.open_tcp_stream("127.0.0.1", context.port)
            await trio.aclose_forcefully(stream)
            context.was_refused = False
        except OSError:
            context.was_refused = True
        context.handler.release.set()


@when("it drains while a request is in flight")
def _drains(context):
    context.bridge.call(_drain_in_flight, context)


@then("the request in flight is answered whole")
def _answered_whole(context):
    assert context.received.endswith(b"\r\n\r\nhello"), context.received
    assert b"connection: close" in context.received.lower()


@then("new connections are refused")
def _are_refused(context):
    assert context.was_refused


BAD_ANSWERS = {
    "a short body": b"HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nhalf",
    "nothing": b"",
    "no HTTP": b"hello there\r\n\r\n",
    "a body over 1 MB": b"HTTP/1.1 200 OK\r\ncontent-length: 2000000\r\n\r\n"
    + b"x" * 2_000_000,
}


async def _serve_raw(handle, *, task_status):
    listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
    task_status.started(listeners[0].socket.getsockname()[1])
    await trio.serve_listeners(handle, listeners)


@given("a server that answers with {what}")
def _answers_with(context, what):
    async def handle(stream):
        await stream.receive_some(65536)
        if what == "silence":
            await trio.sleep_forever()
        try:
            await stream.send_all(BAD_ANSWERS[what])
        except trio.BrokenResourceError:
            pass
        await trio.aclose_forcefully(stream)

    context.raw_port = context.bridge.call(
        context.bridge.nursery.start, functools.partial(_serve_raw, handle)
    )


def _client_send(context, port, path, timeout_s):
    if "client" not in context:
        context.client = HttpClient(address=f"127.0.0.1:{port}")
    return context.bridge.call(
        functools.partial(
            context.client.send, "POST", path, timeout_s=timeout_s
        )
    )


@then("the exchange fails within 2 s, sent")
def _exchange_fails(context):
    try:
        _client_send(context, context.raw_port, "/", 1.5)
    except ExchangeFailed as exc:
        assert exc.was_sent
    else:
        raise AssertionError("it was passed on")


@given("a server that answers late")
def _answers_late(context):
    async def handle(stream):
        data = await stream.receive_some(65536)
        path = data.split()[1]
        await trio.sleep(0.5 if path == b"/slow" else 0)
        try:
            await stream.send_all(
                b"HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\n" + path[:5]
            )
        except trio.BrokenResourceError:
            pass

    context.raw_port = context.bridge.call(
        context.bridge.nursery.start, functools.partial(_serve_raw, handle)
    )


@when("a request is given up and another is sent")
def _given_up(context):
    try:
        _client_send(context, context.raw_port, "/slow", 0.2)
        raise AssertionError("it was not given up")
    except ExchangeFailed:
        context.response = _client_send(
            context, context.raw_port, "/next", 2.0
        )


@then("the other gets its own answer")
def _own_answer(context):
    assert context.response.body == b"/next", context.response


@then("an exchange with a closed port fails, unsent")
def _closed_port(context):
    try:
        _client_send(context, 1, "/", 1.0)
    except ExchangeFailed as exc:
        assert not exc.was_sent
    else:
        raise AssertionError("it succeeded")
