"""Steps for requests that were sent while a server stood still."""

import functools
import socket
import struct
import types
from unittest import mock

import trio
from behave import given
from behave import then
from behave import when

from radishlanding.http import HttpResponse
from radishlanding.http import HttpServer
from radishlanding.http import suspension_watch
from radishlanding.http import SuspensionWatch

REQUEST = (
    b"POST /job HTTP/1.1\r\nhost: x\r\nconnection: close\r\n"
    b"content-length: 2\r\n\r\nhi"
)
SETTLE_S = 0.2


class _Handler:
    """Count the requests that are carried out."""

    __slots__ = ("count",)

    def __init__(self):
        self.count = 0

    async def respond(self, req):
        """Count a request."""
        self.count += 1
        return HttpResponse(status=200)


@given("an HTTP server that has gone through {state}")
def _a_server(context, state):
    context.handler = _Handler()
    watch = types.SimpleNamespace(is_recent=lambda: state == "a suspension")
    server = HttpServer(handler=context.handler, suspension_watch=watch)
    context.bridge.call(_listen, context, server)


async def _listen(context, server):
    """Open the port; a suspended server accepts nothing yet."""
    context.listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
    context.serve = functools.partial(
        trio.serve_listeners, server._serve, context.listeners
    )


@when("a client sends a request and {client}")
def _sends(context, client):
    context.received = context.bridge.call(_send, context, client)


async def _send(context, client):
    port = context.listeners[0].socket.getsockname()[1]
    stream = await trio.open_tcp_stream("127.0.0.1", port)
    await stream.send_all(REQUEST)
    if client == "leaves":
        await stream.aclose()
    elif client == "resets the connection":
        stream.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
        )
        await stream.aclose()
    elif client == "closes its sending side":
        await stream.send_eof()
    context.bridge.nursery.start_soon(context.serve)
    received = b""
    with trio.move_on_after(SETTLE_S):
        if client in ("leaves", "resets the connection"):
            await trio.sleep_forever()
        while data := await stream.receive_some(4096):
            received += data
    await trio.aclose_forcefully(stream)
    return received


@then("the request is not carried out")
def _not_carried_out(context):
    assert context.handler.count == 0, context.handler.count


@then("the request is answered with {status:d}")
def _answered(context, status):
    assert b" %d " % status in context.received[:20], context.received
    assert context.handler.count == (status == 200), context.handler.count


def _at(clock_s):
    return mock.patch.object(
        suspension_watch, "boot_clock_s", new=lambda: clock_s
    )


@given("a watch for suspensions")
def _a_watch(context):
    with _at(100.0):
        context.watch = SuspensionWatch()


@when("{gap_s:g} s pass without a check, and then {later_s:d} s with checks")
def _pass(context, gap_s, later_s):
    for tenth in range(10 * later_s + 1):
        with _at(100.0 + gap_s + tenth / 10):
            context.is_recent = context.watch.is_recent()


@then("a suspension is recent: {recent:w}")
def _is_recent(context, recent):
    assert context.is_recent == (recent == "yes")
