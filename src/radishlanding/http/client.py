"""HTTP/1.1 client for one server."""

import math

import h11
import trio

from radishlanding.http.exchange_failed import ExchangeFailed
from radishlanding.http.request_withdrawn import RequestWithdrawn
from radishlanding.http.response import HttpResponse
from radishlanding.http.response_deadline import ResponseDeadline

READ_BYTES = 64 * 1024
CONNECT_TIMEOUT_S = 1.0
MAX_IDLE_CONNECTIONS = 8
MAX_BODY_BYTES = 1024 * 1024


def _announced_bytes(response):
    """Return the announced length of a body, 0 if there is none."""
    return int(dict(response.headers).get(b"content-length", 0))


class _ClientConnection:
    """Connection that carries one request at a time."""

    __slots__ = ("_h11", "_max_body_bytes", "_stream")

    def __init__(self, stream, max_body_bytes):
        self._max_body_bytes = max_body_bytes
        self._h11 = h11.Connection(h11.CLIENT)
        self._stream = stream

    async def exchange(self, method, target, headers, body, on_receive):
        request = h11.Request(method=method, target=target, headers=headers)
        data = self._h11.send(request)
        data += self._h11.send(h11.Data(data=body))
        data += self._h11.send(h11.EndOfMessage())
        await self._stream.send_all(data)
        return await self._read_response(on_receive)

    async def _read_response(self, on_receive):
        response = None
        chunks = []
        size = 0
        while True:
            event = self._h11.next_event()
            if event is h11.NEED_DATA:
                data = await self._stream.receive_some(READ_BYTES)
                on_receive(len(data))
                self._h11.receive_data(data)
            elif isinstance(event, h11.Response):
                response = event
                self._check_size(_announced_bytes(event))
            elif isinstance(event, h11.Data):
                size += len(event.data)
                self._check_size(size)
                chunks.append(bytes(event.data))
            elif isinstance(event, h11.EndOfMessage):
                break
            elif isinstance(event, h11.ConnectionClosed):
                raise h11.RemoteProtocolError(
                    "connection closed before the response was complete"
                )
        return HttpResponse(
            status=response.status_code,
            headers={
                name.decode("latin-1"): value.decode("latin-1")
                for name, value in response.headers
            },
            body=b"".join(chunks),
        )

    def _check_size(self, size_bytes):
        if size_bytes > self._max_body_bytes:
            raise h11.RemoteProtocolError(
                f"response body exceeds {self._max_body_bytes} bytes"
            )

    def is_reusable(self):
        states = (self._h11.our_state, self._h11.their_state)
        if states != (h11.DONE, h11.DONE):
            return False
        self._h11.start_next_cycle()
        return True

    async def close(self):
        await trio.aclose_forcefully(self._stream)


class HttpClient:
    """Send requests to one server over a pool of connections.

    A connection carries one request at a time and returns to the pool only
    after a complete response. After a failure or cancellation it is closed,
    together with the idle ones, so that a late response is never taken for
    that of another request.
    """

    __slots__ = ("_address", "_host", "_idle", "_max_body_bytes", "_port")

    def __init__(self, *, address, max_body_bytes=MAX_BODY_BYTES):
        """Create a client without connecting.

        :param address: ``ip:port`` of the server.
        :param max_body_bytes: Largest response body to accept.
        """
        self._max_body_bytes = max_body_bytes
        self._address = address
        self._host, _, port = address.rpartition(":")
        self._port = int(port)
        self._idle = []

    async def send(
        self,
        method,
        target,
        *,
        timeout_s,
        silence_s=math.inf,
        min_bytes_per_s=0.0,
        headers=(),
        body=b"",
        make_body=None,
        new_connection=False,
    ):
        """Send a request and return its complete response.

        :param method: Method in upper case.
        :param target: Path and query.
        :param timeout_s: Time for the whole exchange, in seconds.
        :param silence_s: Longest time without a byte of the response, from
            the start of the exchange on, in seconds.
        :param min_bytes_per_s: Slowest rate of the response after
            ``silence_s``; 0 for no bound.
        :param headers: Pairs of name and value of additional headers.
        :param body: Body as bytes.
        :param make_body: Callable that returns the body, or None to withdraw
            the request. It replaces ``body``, and is called when the
            connection is open and the request about to be sent.
        :param new_connection: Whether to open a new connection even if an
            idle one exists.
        :returns: An :class:`radishlanding.http.HttpResponse`.
        :raises ExchangeFailed: There was no complete response in time.
        :raises RequestWithdrawn: ``make_body`` returned None.
        """
        conn = None
        was_sent = False
        deadline = ResponseDeadline(
            timeout_s=timeout_s,
            silence_s=silence_s,
            min_bytes_per_s=min_bytes_per_s,
        )
        try:
            with trio.fail_at(deadline.due_s()) as scope:

                def extend(size):
                    deadline.record_received(size)
                    scope.deadline = deadline.due_s()

                if self._idle and not new_connection:
                    conn = self._idle.pop()
                else:
                    conn = await self._connect()
                if make_body is not None:
                    body = make_body()
                    if body is None:
                        self._idle.append(conn)
                        conn = None
                        raise RequestWithdrawn
                was_sent = True
                response = await conn.exchange(
                    method, target, self._headers(headers, body), body, extend
                )
        except (
            OSError,
            OverflowError,
            UnicodeError,
            trio.TooSlowError,
            trio.BrokenResourceError,
            trio.ClosedResourceError,
            h11.ProtocolError,
        ) as exc:
            reason = str(exc) or type(exc).__name__
            raise ExchangeFailed(reason, was_sent=was_sent) from exc
        else:
            if len(self._idle) < MAX_IDLE_CONNECTIONS and conn.is_reusable():
                self._idle.append(conn)
                conn = None
            return response
        finally:
            if conn is not None:
                with trio.CancelScope(shield=True):
                    await conn.close()
                    await self.close()

    def _headers(self, headers, body):
        """Return the headers of a request, the target's host among them."""
        return [
            ("host", dict(headers).get("host", self._address)),
            ("content-length", str(len(body))),
            *(item for item in headers if item[0] != "host"),
        ]

    @property
    def has_idle_connection(self):
        """Return whether the next request uses an open connection."""
        return bool(self._idle)

    async def _connect(self):
        with trio.fail_after(CONNECT_TIMEOUT_S):
            stream = await trio.open_tcp_stream(self._host, self._port)
        return _ClientConnection(stream, self._max_body_bytes)

    async def close(self):
        """Close the idle connections."""
        while self._idle:
            await self._idle.pop().close()
