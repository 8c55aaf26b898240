"""Steps for the memory and the connections of a process."""

import dataclasses
import functools
import time
import types

import trio
import trio.testing
from behave import given
from behave import then
from behave import when

from radishlanding.http import HttpResponse
from radishlanding.http import HttpServer
from radishlanding.http import Limits
from radishlanding.http import MemoryPool
from radishlanding.http import ProcessBudget
from radishlanding.http.admission import choose_closed
from radishlanding.http.connection_state import ConnectionState
from radishlanding.http.process_budget import BODIES_SHARE
from radishlanding.http.process_budget import CLIENT_CONNECTION_BYTES
from radishlanding.http.process_budget import FRAMES_SHARE
from radishlanding.http.process_budget import PEER_CONNECTION_BYTES
from radishlanding.http.process_budget import REQUESTS_SHARE

LIMIT_BYTES = 100_000
LIMITS = Limits(body_bytes=LIMIT_BYTES, idle_s=5.0, header_s=0.3, read_s=0.5)
LOWERED = {
    "bodies": {"body_bytes": 100},
    "headers": {"header_bytes": 100},
    "idling": {"idle_s": 0.2},
}
# Ends a test in which the server hangs.
HANG_S = 10.0
# The callers of one test wait for each other, so that all are in progress.
CALLERS = 400


class _Handler:
    """Answer, fail, or answer once all callers have sent their request."""

    def __init__(self):
        self._arrived = 0
        self._all_arrived = trio.Event()

    async def respond(self, req):
        if req.target == "/fail":
            raise RuntimeError("failure on request")
        if req.target == "/together":
            self._arrived += 1
            if self._arrived == CALLERS:
                self._all_arrived.set()
            await self._all_arrived.wait()
        return HttpResponse(status=200)


@given("a server with {memory_mb:d} MB and {max_fds:d} descriptors")
def _a_server(context, memory_mb, max_fds):
    context.budget = ProcessBudget(memory_mb=memory_mb, max_fds=max_fds)
    context.limits = dataclasses.replace(
        LIMITS, connections=context.budget.client_connections
    )
    context.server = HttpServer(
        handler=_Handler(), limits=context.limits, budget=context.budget
    )
    run = functools.partial(context.server.run, host="127.0.0.1", port=0)
    context.port = context.bridge.call(context.bridge.nursery.start, run)


def _head(path, *headers):
    lines = "".join(f"{line}\r\n" for line in ("host: x", *headers))
    return f"POST {path} HTTP/1.1\r\n{lines}\r\n".encode()


async def _read(stream):
    """Return what arrives until the connection ends, or of one answer."""
    received = b""
    with trio.fail_after(HANG_S):
        while b"\r\n\r\n" not in received:
            try:
                data = await stream.receive_some(65536)
            except trio.BrokenResourceError:
                break
            if not data:
                break
            received += data
    return received.partition(b"\r\n")[0].decode()


@when("400 callers connect and then send a request each")
def _callers(context):
    context.answers = context.bridge.call(_call_together, context.port)


async def _call_together(port):
    answers = []
    streams = [
        await trio.open_tcp_stream("127.0.0.1", port) for _ in range(CALLERS)
    ]

    async def call(stream):
        async with stream:
            await stream.send_all(_head("/together", "content-length: 0"))
            answers.append(await _read(stream))

    async with trio.open_nursery() as nursery:
        for stream in streams:
            nursery.start_soon(call, stream)
    return answers


@given("other work takes {work_ms:d} ms in each round of the event loop")
def _other_work(context, work_ms):
    limits = dataclasses.replace(context.limits, read_s=10.0)
    context.server.set_limits(limits)

    async def work():
        while True:
            time.sleep(work_ms / 1000)
            await trio.lowlevel.checkpoint()

    context.bridge.call(_start, context.bridge.nursery, work)


async def _start(nursery, function):
    nursery.start_soon(function)


@when("20 callers send bodies of 64 KiB in chunks of 1 KiB")
def _chunked(context):
    context.answers = context.bridge.call(_call_chunked, context.port)


async def _call_chunked(port):
    answers = []
    chunk = b"400\r\n" + b" " * 1024 + b"\r\n"

    async def call():
        async with await trio.open_tcp_stream("127.0.0.1", port) as stream:
            await stream.send_all(_head("/x", "transfer-encoding: chunked"))
            await stream.send_all(64 * chunk + b"0\r\n\r\n")
            answers.append(await _read(stream))

    async with trio.open_nursery() as nursery:
        for _ in range(20):
            nursery.start_soon(call)
    return answers


@then("all of them are answered with 200")
def _all_answered(context):
    assert len(context.answers) in (20, CALLERS)
    assert all(" 200 " in answer for answer in context.answers)


@given(
    "the budget of a process with {memory_mb:d} MB and {max_fds:d} descriptors"
)
def _a_budget(context, memory_mb, max_fds):
    context.budget = ProcessBudget(memory_mb=memory_mb, max_fds=max_fds)
    context.memory_bytes = memory_mb * 2**20
    context.max_fds = max_fds


@then("its parts take at most three quarters of the memory")
def _fits(context):
    budget = context.budget
    parts = context.memory_bytes * (
        BODIES_SHARE + REQUESTS_SHARE + FRAMES_SHARE
    )
    parts += budget.client_connections * CLIENT_CONNECTION_BYTES
    parts += budget.stranger_connections * PEER_CONNECTION_BYTES
    assert parts <= 0.75 * context.memory_bytes, parts


@then("its connections leave 200 descriptors for files")
def _descriptors(context):
    budget = context.budget
    # A request in progress may need a call to the store.
    used = 2 * budget.client_connections + budget.peer_connections
    assert used <= context.max_fds - 200, used


@when("a request is answered")
def _is_answered(context):
    data = _head("/", "content-length: 5") + b"hello"
    assert " 200 " in _exchange(context, data)


@when("a request makes the handler fail")
def _fails(context):
    data = _head("/fail", "content-length: 5") + b"hello"
    assert " 500 " in _exchange(context, data)


@when("a request is cut off within its body")
def _is_cut_off(context):
    context.bridge.call(_cut_off, context.port, context.budget.bodies)


async def _cut_off(port, pool):
    async with await trio.open_tcp_stream("127.0.0.1", port) as stream:
        await stream.send_all(_head("/", "content-length: 50000") + b"hello")
        with trio.fail_after(HANG_S):
            while not pool.used_bytes:
                await trio.sleep(0.01)


@when("a request is too long and not announced")
def _is_too_long(context):
    body = b"%x\r\n" % (LIMIT_BYTES + 1) + b"x" * (LIMIT_BYTES + 1)
    data = _head("/", "transfer-encoding: chunked") + body
    assert " 413 " in _exchange(context, data)


@when("a request stops within its body")
def _stops(context):
    data = _head("/", "content-length: 50000") + b"hello"
    assert " 408 " in _exchange(context, data)


@when("a request waits for memory and is cut off")
def _waits(context):
    context.bridge.call(_wait_and_close, context)


async def _wait_and_close(context):
    pool = context.budget.bodies
    held = pool.largest_bytes
    assert pool.try_reserve(held, is_preferred=False)
    stream = await trio.open_tcp_stream("127.0.0.1", context.port)
    await stream.send_all(_head("/", "content-length: 50000"))
    with trio.fail_after(HANG_S):
        while not pool.is_short:
            await trio.sleep(0.01)
        await trio.aclose_forcefully(stream)
        while pool.is_short:
            await trio.sleep(0.01)
    pool.release(held)


@then("no memory of the budget is in use")
def _none_in_use(context):
    context.bridge.call(_wait_unused, context.budget)


async def _wait_unused(budget):
    with trio.fail_after(HANG_S):
        while budget.bodies.used_bytes or budget.requests.used_bytes:
            await trio.sleep(0.01)


def _exchange(context, data):
    return context.bridge.call(_send_and_read, context.port, data)


async def _send_and_read(port, data):
    async with await trio.open_tcp_stream("127.0.0.1", port) as stream:
        await stream.send_all(data)
        return await _read(stream)


@when("a client announces a body over the limit and sends none")
def _announces(context):
    length = f"content-length: {LIMIT_BYTES + 1}"
    context.answer = _exchange(context, _head("/", length))


@when("a client begins headers and sends no more")
def _begins_headers(context):
    context.answer = _exchange(context, b"POST / HTTP/1.1\r\nhost: x\r\n")


@then("it is answered with {status:d}")
def _answered_with(context, status):
    assert f" {status} " in context.answer, context.answer


@when("a client is answered, the limit of {limit} is lowered, and it {acts}")
def _lower(context, limit, acts):
    second = {
        "sends a body over it": _head("/", "content-length: 101"),
        "sends headers over it": _head("/", "x: " + "y" * 100),
        "waits": b"",
    }[acts]
    lowered = dataclasses.replace(context.limits, **LOWERED[limit])
    context.answer = context.bridge.call(
        _send_before_and_after, context, lowered, second
    )


async def _send_before_and_after(context, lowered, second):
    first = _head("/", "content-length: 0", "x: " + "y" * 200)
    port = context.port
    async with await trio.open_tcp_stream("127.0.0.1", port) as stream:
        await stream.send_all(first)
        assert " 200 " in await _read(stream)
        context.server.set_limits(lowered)
        await stream.send_all(second)
        return await _read(stream)


@then("the connection ends with {end}")
def _ends_with(context, end):
    found = context.answer
    assert f" {end} " in found if end != "nothing" else not found, found


@given("a pool of 100 bytes, all in use")
def _a_pool(context):
    context.granted = []
    context.pool = MemoryPool(limit_bytes=100)
    assert context.pool.try_reserve(100, is_preferred=True)


@when("a large, a cancelled small and a small request wait for 30 bytes each")
def _three_wait(context):
    context.bridge.call(_wait_for_memory, context)


async def _wait_for_memory(context):
    scope = trio.CancelScope()

    async def wait(name, cancel_scope):
        with cancel_scope:
            await context.pool.reserve(
                30, is_preferred=name == "small", timeout_s=HANG_S
            )
            context.granted.append(name)

    for name, cancel_scope in (
        ("large", trio.CancelScope()),
        ("small", scope),
        ("small", trio.CancelScope()),
    ):
        context.bridge.nursery.start_soon(wait, name, cancel_scope)
        await trio.testing.wait_all_tasks_blocked()
    scope.cancel()
    await trio.testing.wait_all_tasks_blocked()


@when("{count:d} bytes are returned")
def _returned(context, count):
    context.bridge.call(_release, context.pool, count)


async def _release(pool, count):
    pool.release(count)
    await trio.testing.wait_all_tasks_blocked()


@then('memory was granted to "{names}"')
def _granted_to(context, names):
    assert ", ".join(context.granted) == names, context.granted


@then("{count:d} bytes are in use")
def _in_use(context, count):
    assert context.pool.used_bytes == count, context.pool.used_bytes


@then("75 bytes can be reserved for large requests and 25 more for small ones")
def _shares(context):
    pool = context.pool
    assert not pool.try_reserve(76, is_preferred=False)
    assert pool.try_reserve(75, is_preferred=False)
    assert not pool.try_reserve(1, is_preferred=False)
    assert pool.try_reserve(25, is_preferred=True)


def _parse_connection(text):
    state, seconds, _ = text.split()
    return types.SimpleNamespace(
        name=text, state=ConnectionState(state), since_s=-float(seconds)
    )


@given("connections that are {states}")
def _connections(context, states):
    context.connections = [
        _parse_connection(text) for text in states.split(", ")
    ]


@then("the one to close is {name}")
def _to_close(context, name):
    found = choose_closed(context.connections, now_s=0.0)
    assert (found.name if found else "none") == name, found
