"""Steps for connections between processes."""

import functools
import socket
import struct

import trio
import trio.testing
from behave import given
from behave import then
from behave import when

from radishlanding.message import CancelJob
from radishlanding.message import GetStatus
from radishlanding.observe import Counters
from radishlanding.peer import CallRefused
from radishlanding.peer import CallWithdrawn
from radishlanding.peer import Connection
from radishlanding.peer import ConnectionLost
from radishlanding.peer import dial
from radishlanding.peer import Link
from radishlanding.peer import PeerServer
from radishlanding.peer.frames import LENGTH_BYTES
from radishlanding.wire import decode
from tests.peer.held_stream import HeldStream
from tests.peer.stalled_stream import StalledStream
from tests.standin.proxy import Proxy
from tests.standin.record import now_s

MAX_CONNECTIONS = 20
REVERSED_CALLS = 50
# Names as long as their frames need, so that no padding is sent.
NAMES = ["a" * 31, "b" * 31, "c" * 31]


class Echo:
    """Echo calls and record connections and disconnections."""

    __slots__ = ("connected_count", "disconnected_s", "waiting")

    def __init__(self):
        """Start without connections."""
        self.connected_count = 0
        self.disconnected_s = []
        self.waiting = []

    async def handle(self, message, _conn):
        """Echo a call.

        Calls named ``reverse`` are answered in reverse order; GetStatus
        fails.
        """
        if isinstance(message, GetStatus):
            raise RuntimeError("asked to fail")
        if message.job_id.startswith("reverse"):
            event = trio.Event()
            self.waiting.append(event)
            if len(self.waiting) == REVERSED_CALLS:
                for other in reversed(self.waiting):
                    other.set()
                    await trio.sleep(0.001)
            await event.wait()
        return CancelJob(job_id=message.job_id)

    async def connected(self, _conn):
        """Count a connection."""
        self.connected_count += 1

    def disconnected(self, _conn):
        """Record the time of a disconnection."""
        self.disconnected_s.append(now_s())


@given("a peer behind a proxy")
def _a_peer(context):
    context.server, context.client = Echo(), Echo()
    context.proxy = Proxy()
    context.bridge.call(_open_peer, context)


async def _open_peer(context):
    nursery = context.bridge.nursery
    server = PeerServer(
        handler=context.server,
        counters=Counters(),
        max_connections=MAX_CONNECTIONS,
    )
    port = await nursery.start(
        functools.partial(server.run, host="127.0.0.1", port=0)
    )
    context.port = port
    context.proxy.upstream = f"127.0.0.1:{port}"
    await context.proxy.start(nursery)
    context.link = Link(
        address=context.proxy.address,
        handler=context.client,
        counters=Counters(),
    )
    nursery.start_soon(context.link.run)
    await _wait_works(context.link, timeout_s=2.0)


async def _wait_works(link, *, timeout_s):
    with trio.fail_after(timeout_s):
        while True:
            try:
                return await link.call(CancelJob(job_id="x"), timeout_s=0.5)
            except ConnectionLost:
                await trio.sleep(0.02)


@when("the open connection goes silent {direction}")
def _goes_silent(context, direction):
    context.silent_s = now_s()
    context.proxy.blackhole(
        up=direction != "downwards", down=direction != "upwards"
    )


async def _wait_both_disconnected(context):
    with trio.fail_after(6.0):
        while not (
            context.server.disconnected_s and context.client.disconnected_s
        ):
            await trio.sleep(0.01)


@then("both ends detect the loss within 3 s")
def _both_ends_detect(context):
    context.bridge.call(_wait_both_disconnected, context)
    for echo in (context.server, context.client):
        assert echo.disconnected_s[0] - context.silent_s < 3.0


@then("the link reconnects within 1 s")
def _reconnects(context):
    call = functools.partial(_wait_works, context.link, timeout_s=1.0)
    context.bridge.call(call)


@then("the link still works")
def _still_works(context):
    call = functools.partial(
        context.link.call, CancelJob(job_id="y"), timeout_s=1.0
    )
    assert context.bridge.call(call).job_id == "y"


@then("a call fails within 3 s as possibly executed")
def _a_call_fails(context):
    call = functools.partial(
        context.link.call, CancelJob(job_id="z"), timeout_s=60.0
    )
    try:
        context.bridge.call(call)
    except ConnectionLost as exc:
        assert exc.was_sent
        assert now_s() - context.silent_s < 3.0
    else:
        raise AssertionError("the call was answered")


async def _call_many(link):
    answers = {}

    async def call(name):
        answer = await link.call(CancelJob(job_id=name), timeout_s=5.0)
        answers[name] = answer.job_id

    async with trio.open_nursery() as nursery:
        for index in range(REVERSED_CALLS):
            nursery.start_soon(call, f"reverse{index}")
    return answers


@then("50 calls that are answered in reverse order get their own replies")
def _answered_in_reverse(context):
    answers = context.bridge.call(_call_many, context.link)
    assert len(answers) == REVERSED_CALLS
    assert all(name == answer for name, answer in answers.items())


async def _send_and_read(port, data):
    stream = await trio.open_tcp_stream("127.0.0.1", port)
    try:
        await stream.send_all(data)
        with trio.fail_after(1.0):
            while await stream.receive_some(65536):
                continue
    except trio.BrokenResourceError:
        return
    finally:
        await trio.aclose_forcefully(stream)


@when("another client sends {what}")
def _client_sends(context, what):
    context.malformed = {
        "a frame of 2 GB": (2**31 - 1).to_bytes(4, "little"),
        "an empty frame": bytes(4),
        "an undecodable frame": b"\x08\0\0\0" + b"\xff" * 8,
        "64 KB of noise": bytes(range(256)) * 256,
    }[what]


@then("that connection is closed within 1 s")
def _closed_within(context):
    context.bridge.call(_send_and_read, context.port, context.malformed)


async def _connect_many(port, count):
    closed = 0
    streams = [
        await trio.open_tcp_stream("127.0.0.1", port) for _ in range(count)
    ]
    await trio.sleep(0.2)
    for stream in streams:
        with trio.move_on_after(0.02):
            try:
                closed += await stream.receive_some(1) == b""
            except trio.BrokenResourceError:
                closed += 1
    return closed, streams


@when("30 more clients connect to a server with a limit of 20")
def _many_connect(context):
    context.closed, context.streams = context.bridge.call(
        _connect_many, context.port, 30
    )


@then("at least 10 of them are closed at once")
def _are_closed(context):
    assert context.closed >= 10, context.closed


@then("a call that makes the handler fail is refused")
def _is_refused(context):
    call = functools.partial(context.link.call, GetStatus(), timeout_s=1.0)
    try:
        context.bridge.call(call)
    except CallRefused as exc:
        assert exc.reason == "internal error"
    else:
        raise AssertionError("the call was answered")


def _bound_socket(context):
    sock = socket.socket()
    sock.bind(("127.0.0.1", 0))
    # Keeps the sockets open after the step.
    context.sockets = [sock]
    context.address = f"127.0.0.1:{sock.getsockname()[1]}"
    return sock


@given("an address where nothing listens")
def _nothing_listens(context):
    _bound_socket(context)


@given("an address where the accept queue is full")
def _accept_queue_is_full(context):
    sock = _bound_socket(context)
    sock.listen(0)
    for _ in range(3):
        client = socket.socket()
        client.setblocking(False)
        client.connect_ex(sock.getsockname())
        context.sockets.append(client)


@then("connecting to it fails within 1.5 s as {failure}")
def _connecting_fails(context, failure):
    exc = context.bridge.call(_failure, context.address)
    assert exc.was_refused == (failure == "refused"), exc


async def _failure(address):
    with trio.fail_after(1.5):
        try:
            await dial(address=address)
        except ConnectionLost as exc:
            return exc
    raise AssertionError("the connection was opened")


@given("a connection that stalls {count:d} bytes before the end of a call")
def _stalled(context, count):
    context.stream = StalledStream(missing_bytes=count)
    context.connection = Connection(
        stream=context.stream,
        handler=Echo(),
        counters=Counters(),
        peer="peer",
    )


async def _call_and_fail(conn, name, timeout_s):
    try:
        await conn.call(CancelJob(job_id=name), timeout_s=timeout_s)
    except ConnectionLost as exc:
        return exc
    raise AssertionError("the call was answered")


async def _give_up(conn, timeout_s):
    async with trio.open_nursery() as nursery:
        await nursery.start(conn.run)
        async with trio.open_nursery() as calls:
            for name in NAMES:
                calls.start_soon(_call_and_fail, conn, name, timeout_s)
                await trio.sleep(0.01)
                timeout_s = 1.0
        nursery.cancel_scope.cancel()


@when(
    "the call is given up after {timeout_s:g} s while 2 others wait to be sent"
)
def _given_up(context, timeout_s):
    context.bridge.call(_give_up, context.connection, timeout_s)


@then("the peer reads no message that was not sent")
def _only_sent_messages(context):
    names = _sent_names(context.stream.sent)
    assert set(names) <= set(NAMES), names


def _sent_names(data):
    """Return the names in the frames that were sent whole."""
    names = []
    while len(data) > LENGTH_BYTES:
        end = LENGTH_BYTES + int.from_bytes(data[:LENGTH_BYTES], "little")
        if len(data) < end:
            break
        names.append(decode(data[LENGTH_BYTES:end]).message.job_id)
        data = data[end:]
    return names


@then("further calls fail as not executed")
def _not_executed(context):
    exc = context.bridge.call(_call_and_fail, context.connection, "x", 0.2)
    assert not exc.was_sent


@given("a connection on a full link, on which a call is being sent")
def _full_link(context):
    async def open_and_call():
        context.stream = HeldStream()
        context.connection = Connection(
            stream=context.stream,
            handler=Echo(),
            counters=Counters(),
            peer="peer",
        )
        nursery = context.bridge.nursery
        nursery.start_soon(_call_unanswered, context.connection, NAMES[0])
        await trio.testing.wait_all_tasks_blocked()

    context.bridge.call(open_and_call)


async def _call_unanswered(connection, name):
    try:
        await connection.call(CancelJob(job_id=name), timeout_s=1.0)
    except ConnectionLost:
        return
    raise AssertionError("the call was answered")


@when("another call waits behind it and is withdrawn, and the link has room")
def _withdrawn(context):
    async def withdraw():
        wanted = [CancelJob(job_id=NAMES[1])]

        async def call():
            try:
                await context.connection.call_prepared(
                    lambda: wanted[0] if wanted else None, timeout_s=1.0
                )
            except CallWithdrawn:
                context.was_withdrawn = True

        async with trio.open_nursery() as nursery:
            nursery.start_soon(call)
            await trio.testing.wait_all_tasks_blocked()
            wanted.clear()
            context.stream.has_room.set()

    context.was_withdrawn = False
    context.bridge.call(withdraw)


@then("the peer reads the first call only")
def _first_only(context):
    assert context.was_withdrawn
    assert _sent_names(context.stream.sent) == NAMES[:1]


@when("{count:d} other clients connect and reset their connections")
def _reset(context, count):
    for _ in range(count):
        sock = socket.create_connection(("127.0.0.1", context.port))
        # Closing without a time to linger resets the connection.
        sock.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
        )
        sock.close()
