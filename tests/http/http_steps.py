"""Steps for the HTTP client and server."""

import functools
import random
import time

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
from radishlanding.http import RequestWithdrawn

SEED = 20_261_204
GOOD = b"POST /echo HTTP/1.1\r\nhost: x\r\ncontent-length: 2\r\n\r\nhi"


class EchoHandler:
    """Echo request bodies."""

    __slots__ = ("release",)

    def __init__(self):
        """Create the event that requests to ``/wait`` wait for."""
        self.release = trio.Event()

    async def respond(self, req):
        """Echo the body, or behave as the path names."""
        match req.path:
            case ["echo"]:
                return HttpResponse(status=200, body=req.body)
            case ["json"]:
                return HttpResponse.of_json(req.json())
            case ["fail"]:
                raise RuntimeError("failure on request")
            case ["wait"]:
                await self.release.wait()
                return HttpResponse(status=200, body=req.body)
        raise HttpError(status=404, reason="unknown path")


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
    """Send bytes and return all that is received until the stream ends."""
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
    "a body that never arrives": _request(b"/echo", length=10),
    "a request that raises": _request(b"/fail"),
    "an unknown path": _request(b"/nowhere"),
    "a body with no JSON object": _request(b"/json", b"[1]"),
}


@when("an HTTP client sends {data}")
def _sends(context, data):
    context.received = context.bridge.call(
        _exchange, context.port, BAD_REQUESTS[data]
    )


@then("the HTTP response is {status:d}")
def _response_is(context, status):
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


@when("12 clients connect to a server with a limit of 8 and stay")
def _clients_stay(context):
    context.closed = context.bridge.call(_stay, context.port, 12)


@then("at least 4 of those clients are disconnected")
def _clients_are_disconnected(context):
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


@when("the HTTP server drains while a request is in flight")
def _drains(context):
    context.bridge.call(_drain_in_flight, context)


@then("the request in flight gets a complete response")
def _complete_response(context):
    assert context.received.endswith(b"\r\n\r\nhello"), context.received
    assert b"connection: close" in context.received.lower()


@then("new connections are refused")
def _are_refused(context):
    assert context.was_refused


BAD_RESPONSES = {
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


@given("a server that responds with {data}")
def _responds_with(context, data):
    async def handle(stream):
        await stream.receive_some(65536)
        if data == "silence":
            await trio.sleep_forever()
        try:
            await stream.send_all(BAD_RESPONSES[data])
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


@then("the exchange fails within 2 s and counts as sent")
def _exchange_fails(context):
    try:
        _client_send(context, context.raw_port, "/", 1.5)
    except ExchangeFailed as exc:
        assert exc.was_sent
    else:
        raise AssertionError("the response was returned")


@given("a server that responds late")
def _responds_late(context):
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


@when("a request times out and another is sent")
def _times_out(context):
    try:
        _client_send(context, context.raw_port, "/slow", 0.2)
        raise AssertionError("the request did not time out")
    except ExchangeFailed:
        context.response = _client_send(
            context, context.raw_port, "/next", 2.0
        )


@then("the other request gets its own response")
def _own_response(context):
    assert context.response.body == b"/next", context.response


PART = b"x" * 1000
PARTS = 8


@given("a server that sends a body of 8 parts, {gap}")
def _sends_parts(context, gap):
    async def handle(stream):
        await stream.receive_some(65536)
        head = b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n"
        try:
            await stream.send_all(head % (len(PART) * PARTS))
            for number in range(PARTS):
                if number == 2 and "stops" in gap:
                    await trio.sleep_forever()
                await trio.sleep(0.3)
                await stream.send_all(PART)
        except trio.BrokenResourceError:
            pass

    context.raw_port = context.bridge.call(
        context.bridge.nursery.start, functools.partial(_serve_raw, handle)
    )


@when("a client allows {silence_s:g} s of silence and {limit_s:g} s in all")
def _allows(context, silence_s, limit_s):
    _send_limited(context, timeout_s=limit_s, silence_s=silence_s)


@when(
    "a client allows {silence_s:g} s of silence and {rate:g} bytes/s at least"
)
def _allows_rate(context, silence_s, rate):
    _send_limited(
        context, timeout_s=20, silence_s=silence_s, min_bytes_per_s=rate
    )


def _send_limited(context, **limits):
    client = HttpClient(address=f"127.0.0.1:{context.raw_port}")
    send = functools.partial(client.send, "GET", "/", **limits)
    began_s = time.monotonic()
    try:
        context.response = context.bridge.call(send)
    except ExchangeFailed:
        context.response = None
    context.took_s = time.monotonic() - began_s


@then("the exchange returns the whole body")
def _whole_body(context):
    assert context.response is not None, context.took_s
    assert context.response.body == PART * PARTS


@then("the exchange fails after {least_s:g} s to {most_s:g} s")
def _fails_after(context, least_s, most_s):
    assert context.response is None
    assert least_s <= context.took_s <= most_s, context.took_s


@then("an exchange with a closed port fails and counts as not sent")
def _closed_port(context):
    try:
        _client_send(context, 1, "/", 1.0)
    except ExchangeFailed as exc:
        assert not exc.was_sent
    else:
        raise AssertionError("the exchange succeeded")


class _CountingServer(HttpServer):
    """Count the connections that are accepted."""

    def __init__(self, *, handler):
        super().__init__(handler=handler)
        self.accepted = 0

    async def _serve(self, stream):
        self.accepted += 1
        await super()._serve(stream)


class _RecordingHandler:
    """Record the targets of requests."""

    def __init__(self):
        self.targets = []

    async def respond(self, req):
        self.targets.append(req.target)
        return HttpResponse.of_json({})


@given("a server that records the requests that it gets")
def _records(context):
    context.recorded = _RecordingHandler()
    context.server = _CountingServer(handler=context.recorded)
    port = context.bridge.call(
        context.bridge.nursery.start,
        functools.partial(context.server.run, host="127.0.0.1", port=0),
    )
    context.client = HttpClient(address=f"127.0.0.1:{port}")


@when("a client withdraws a request as it is about to be sent")
def _withdraws(context):
    send = functools.partial(
        context.client.send,
        "POST",
        "/first",
        timeout_s=1.0,
        make_body=lambda: None,
    )
    try:
        context.bridge.call(send)
    except RequestWithdrawn:
        return
    raise AssertionError("the request was not withdrawn")


@then("the server got a connection and no request")
def _got_none(context):
    assert context.client.has_idle_connection
    assert context.recorded.targets == [], context.recorded.targets


@then("the next request is sent on the same connection")
def _sent_next(context):
    async def send_next():
        await context.client.send("POST", "/second", timeout_s=1.0)

    context.bridge.call(send_next)
    assert context.recorded.targets == ["/second"], context.recorded.targets
    assert context.server.accepted == 1, context.server.accepted
