"""A crowd of clients that keep to no limit."""

import functools

import trio

MEGABYTE = 2**20
# Just below 1 MiB, so that a server without the operator's limit waits for
# the rest.
LARGE_BODY = b"[" * (MEGABYTE - 1)
# How long the crowd acts; twice the longest time-out that the tests set.
CROWD_S = 4.0
# A client whose connection was closed connects again after this time.
RECONNECT_S = 0.25
READ_BYTES = 65536
HOST = b"host: desk.example\r\n"
PATH = b"/jobs/00000000000000ff"


def _post(*headers):
    lines = b"".join(line + b"\r\n" for line in headers)
    return b"POST " + PATH + b" HTTP/1.1\r\n" + HOST + lines + b"\r\n"


async def _read_to_end(stream):
    while await stream.receive_some(READ_BYTES):
        continue


async def _announce(stream):
    length = b"content-length: %d" % MEGABYTE
    await stream.send_all(_post(length) + LARGE_BODY)
    await _read_to_end(stream)


async def _send_chunked(stream):
    head = _post(b"transfer-encoding: chunked")
    size = b"%x\r\n" % len(LARGE_BODY)
    await stream.send_all(head + size + LARGE_BODY + b"\r\n")
    await _read_to_end(stream)


async def _leave_unfinished(stream):
    """Send all but one byte of a body of exactly the operator's limit."""
    head = _post(b"content-length: 262144")
    await stream.send_all(head + LARGE_BODY[:262143])
    await _read_to_end(stream)


async def _expect_continue(stream):
    length = b"content-length: %d" % MEGABYTE
    await stream.send_all(_post(length, b"expect: 100-continue"))
    answer = await stream.receive_some(READ_BYTES)
    if b" 100 " in answer:
        await stream.send_all(LARGE_BODY)
    await _read_to_end(stream)


async def _never_end_headers(stream):
    await stream.send_all(b"POST " + PATH + b" HTTP/1.1\r\n" + HOST)
    while True:
        await stream.send_all(b"x-filler: " + b"y" * 1000 + b"\r\n")
        await trio.sleep(0.2)


async def _stay_silent(stream):
    await _read_to_end(stream)


async def _never_read(stream):
    """Send requests without end and read no answer."""
    get = b"GET " + PATH + b" HTTP/1.1\r\n" + HOST + b"\r\n"
    while True:
        await stream.send_all(get * 200)


async def _pipeline(stream):
    """Send many requests at once and read the answers."""
    get = b"GET " + PATH + b" HTTP/1.1\r\n" + HOST + b"\r\n"
    await stream.send_all(get * 50)
    await _read_to_end(stream)


async def _send_costly_body(stream):
    """Send a body whose objects take far more memory than its bytes."""
    body = b"[" + b"[]," * 87_000 + b"[]]"
    length = b"content-length: %d" % len(body)
    await stream.send_all(_post(length) + body)
    await _read_to_end(stream)


async def _send_tiny_chunks(stream):
    """Send a body inside the limit as chunks of 2 bytes, without an end."""
    head = _post(b"transfer-encoding: chunked")
    await stream.send_all(head + b"2\r\n[]\r\n" * 131_000)
    await _read_to_end(stream)


async def _send_many_headers(stream):
    """Send requests with as many headers as fit into the limit."""
    request = _post(*[b"%d:" % number for number in range(2300)])
    while True:
        await stream.send_all(request)
        await stream.receive_some(READ_BYTES)


async def _leave_frame_unfinished(stream):
    """Send all but one byte of a frame of the peer protocol."""
    size = 2 * MEGABYTE
    await stream.send_all(size.to_bytes(4, "little") + LARGE_BODY)
    await stream.send_all(LARGE_BODY)
    await _read_to_end(stream)


async def _leave_first_frame_unfinished(stream):
    """Send all but one byte of a frame that a stranger may send."""
    size = MEGABYTE // 2
    await stream.send_all(size.to_bytes(4, "little") + LARGE_BODY[: size - 1])
    await _read_to_end(stream)


BEHAVIOURS = {
    "announce bodies over the limit": _announce,
    "send bodies over the limit in chunks": _send_chunked,
    "send bodies inside the limit and leave them unfinished": (
        _leave_unfinished
    ),
    "ask for leave to send bodies over the limit": _expect_continue,
    "send headers without end": _never_end_headers,
    "stay silent": _stay_silent,
    "never read their answers": _never_read,
    "send many requests at once": _pipeline,
    "send bodies that are costly to decode": _send_costly_body,
    "send bodies in tiny chunks": _send_tiny_chunks,
    "send many headers": _send_many_headers,
    "leave frames of 2 MiB unfinished": _leave_frame_unfinished,
    "leave first frames unfinished": _leave_first_frame_unfinished,
}


class Crowd:
    """Run clients of one behaviour against an address."""

    __slots__ = ("_address", "_behave", "_count")

    def __init__(self, *, address, behaviour, count):
        """Prepare the crowd; :meth:`run` connects it.

        :param address: ``ip:port`` of the server.
        :param behaviour: A key of ``BEHAVIOURS``.
        :param count: Number of clients.
        """
        self._address = address
        self._behave = BEHAVIOURS[behaviour]
        self._count = count

    async def run(self):
        """Act for ``CROWD_S`` seconds, then disconnect."""
        with trio.move_on_after(CROWD_S):
            async with trio.open_nursery() as nursery:
                for _ in range(self._count):
                    nursery.start_soon(self._run_client)

    async def _run_client(self):
        host, _, port = self._address.rpartition(":")
        connect = functools.partial(trio.open_tcp_stream, host, int(port))
        while True:
            try:
                async with await connect() as stream:
                    await self._behave(stream)
            except (OSError, trio.BrokenResourceError):
                # The server has refused this client or closed its connection.
                pass
            await trio.sleep(RECONNECT_S)
