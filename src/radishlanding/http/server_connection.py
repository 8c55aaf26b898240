"""Connection of a client to an HTTP server."""

import socket

import h11
import trio

from radishlanding.http.admission import SLOW_S
from radishlanding.http.connection_state import ConnectionState
from radishlanding.http.http_error import HttpError
from radishlanding.http.memory_exhausted import MemoryExhausted
from radishlanding.http.request import HttpRequest
from radishlanding.http.reservation import Reservation
from radishlanding.http.response import HttpResponse
from radishlanding.observe import EventLog

READ_BYTES = 32 * 1024
SEND_TIMEOUT_S = 10.0
DRAIN_IDLE_S = 0.5
# How long to read on after an error response before closing, and how much; a
# client that still sends then may not see the response.
LINGER_S = 1.0
LINGER_BYTES = 4 * 1024 * 1024
# A body that arrives more slowly is given up where others wait for the memory
# that it holds. At this rate one of 262,144 bytes takes as long as any may.
MIN_BODY_BYTES_PER_S = 25_000
# Bodies up to this size are preferred where memory is short.
SMALL_BODY_BYTES = 16 * 1024
# Memory of the objects of a request and of what is made of them, in bytes for
# each byte of the body. Of bodies that cost more, such as lists of empty
# lists, one at a time is decoded and dropped.
COST_PER_BYTE = 8
# The colon and the line break of a header.
HEADER_LINE_BYTES = 3
# Input that is parsed without waiting for a turn. Headers of ordinary requests
# have less, and take a fraction of a millisecond; 16 KiB of them take 10 ms.
FREE_PARSE_BYTES = 4096
# How long a request waits for memory before it is refused.
MEMORY_WAIT_S = 2.0
RETRY_AFTER_S = 1
# The end of the client's side is there at once if it has closed it.
PEEK_TIMEOUT_S = 0.001
MAX_LOGGED_CHARS = 200

_log = EventLog("radishlanding.http")


class ServerConnection:
    """Serve the requests of one connection, one after the other.

    :param since_s: When ``state`` began, on trio's clock, in seconds.
    :param state: A :class:`ConnectionState`.
    """

    __slots__ = (
        "_body",
        "_budget",
        "_counters",
        "_h11",
        "_handler",
        "_header_bytes",
        "_idle_scope",
        "_is_draining",
        "_limits",
        "_request",
        "_scope",
        "_stream",
        "_suspension_watch",
        "_unparsed_bytes",
        "since_s",
        "state",
    )

    def __init__(
        self,
        *,
        stream,
        handler,
        limits,
        budget,
        counters,
        suspension_watch=None,
    ):
        """Prepare a connection; :meth:`run` serves it.

        :param stream: An open :class:`trio.abc.HalfCloseableStream`.
        :param handler: An :class:`radishlanding.http.HttpHandler`.
        :param limits: A :class:`radishlanding.http.limits.Limits`.
        :param budget: A :class:`radishlanding.http.ProcessBudget`, or None.
        :param counters: The process's :class:`radishlanding.observe.Counters`.
        :param suspension_watch: A :class:`SuspensionWatch`, or None.
        """
        self._body = Reservation(pool=budget and budget.bodies)
        self._request = Reservation(pool=budget and budget.requests)
        self._budget = budget
        self._counters = counters
        self._stream = stream
        self._suspension_watch = suspension_watch
        self._handler = handler
        self._limits = limits
        self._idle_scope = trio.CancelScope()
        # Bytes received since all input was parsed.
        self._unparsed_bytes = 0
        self._is_draining = False
        self._scope = trio.CancelScope()
        self._enter(ConnectionState.IDLE)
        self._reset()

    def _enter(self, state):
        self.state = state
        self.since_s = trio.current_time()

    def _reset(self):
        """Start with no request, under the present limit of headers."""
        self._header_bytes = self._limits.header_bytes
        self._h11 = h11.Connection(
            h11.SERVER, max_incomplete_event_size=self._header_bytes
        )

    def set_limits(self, limits):
        """Replace the limits.

        An idle connection follows them at once, a request in progress where
        it has not met the former ones yet.

        :param limits: A :class:`radishlanding.http.limits.Limits`.
        """
        self._limits = limits
        if self.state is ConnectionState.IDLE and not self._is_draining:
            self._idle_scope.deadline = self.since_s + limits.idle_s

    def drain(self):
        """Finish the request in flight, and wait only briefly for another."""
        self._is_draining = True
        self._idle_scope.deadline = trio.current_time() + DRAIN_IDLE_S

    def close(self):
        """Close the connection, with the request that is in progress."""
        self._scope.cancel()

    async def run(self):
        """Serve requests until the connection ends."""
        try:
            with self._scope:
                while await self._serve_one():
                    self._start_next()
        except (
            trio.BrokenResourceError,
            trio.ClosedResourceError,
            trio.TooSlowError,
            h11.LocalProtocolError,
        ) as exc:
            _log.debug("client_disconnected", reason=repr(exc))
        finally:
            self._release()
            with trio.CancelScope(shield=True):
                await trio.aclose_forcefully(self._stream)

    def _start_next(self):
        has_more = bool(self._h11.trailing_data[0])
        if has_more or self._header_bytes == self._limits.header_bytes:
            self._h11.start_next_cycle()
        else:
            self._reset()

    def _release(self):
        self._body.release()
        self._request.release()

    async def _serve_one(self):
        """Serve one request; return whether another may follow."""
        try:
            req = await self._read_request()
        except h11.RemoteProtocolError as exc:
            return await self._refuse(
                HttpError(status=exc.error_status_hint, reason=str(exc))
            )
        except HttpError as exc:
            return await self._refuse(exc)
        if req is None:
            return False
        if await self._has_client_left():
            return await self._drop_abandoned(req)
        self._enter(ConnectionState.SERVING)
        response = await self._respond(req)
        del req
        self._release()
        return await self._send(response, close=self._is_draining)

    async def _has_client_left(self):
        """Return whether the client left while the process was suspended.

        At other times a client may close its sending side and wait for the
        response, so that only the response shows whether it is there.
        """
        watch = self._suspension_watch
        if watch is None or not watch.is_recent():
            return False
        with trio.move_on_after(PEEK_TIMEOUT_S):
            try:
                data = await self._stream.socket.recv(1, socket.MSG_PEEK)
            except OSError as exc:
                return isinstance(exc, ConnectionError)
            return not data
        return False

    async def _drop_abandoned(self, req):
        """Refuse a request, as its client may only have half closed."""
        request_id = req.headers.get("request-id", "none")
        self._counters.add("http_abandoned")
        _log.info(
            "request_abandoned",
            method=req.method,
            path=req.target[:MAX_LOGGED_CHARS],
            request=request_id[:MAX_LOGGED_CHARS],
        )
        return await self._refuse(
            HttpError(
                status=503,
                reason="the client has left",
                retry_after_s=RETRY_AFTER_S,
            )
        )

    async def _respond(self, req):
        try:
            await self._reserve_request(len(req.body))
            return await self._handler.respond(req)
        except HttpError as exc:
            return _error_response(exc)
        except Exception:
            # A failing request must not affect those of other clients.
            _log.exception("request_failed")
            return _error_response(
                HttpError(status=500, reason="internal error")
            )

    async def _reserve_request(self, body_bytes):
        """Hold what it takes to carry out a request with a body.

        A request that takes more than the pool has is carried out with no
        other large one beside it.
        """
        if self._budget is None or not body_bytes:
            return
        cost = min(
            COST_PER_BYTE * body_bytes, self._budget.requests.largest_bytes
        )
        await self._reserve(self._request, cost, body_bytes)

    async def _reserve(self, reservation, size_bytes, body_bytes):
        """Hold memory for a request.

        :raises HttpError: 503, there was none in time.
        """
        try:
            await reservation.grow(
                size_bytes,
                is_preferred=body_bytes <= SMALL_BODY_BYTES,
                timeout_s=MEMORY_WAIT_S,
            )
        except MemoryExhausted:
            self._counters.add("http_memory_refused")
            raise HttpError(
                status=503, reason="overloaded", retry_after_s=RETRY_AFTER_S
            )

    async def _refuse(self, error):
        """Send an error response to a request that was not read completely.

        The rest of the request is then read for up to ``LINGER_S``: closing
        with unread data would reset the connection, and the client might
        never see the response.
        """
        self._release()
        self._counters.add(f"http_refused_{error.status}")
        await self._send(_error_response(error), close=True)
        self._enter(ConnectionState.REFUSED)
        received = 0
        with trio.move_on_after(LINGER_S):
            await self._stream.send_eof()
            while received < LINGER_BYTES:
                data = await self._stream.receive_some(READ_BYTES)
                if not data:
                    break
                received += len(data)
        return False

    async def _read_request(self):
        """Return the next request, None if the connection ends or is idle."""
        head = await self._read_head()
        if not isinstance(head, h11.Request):
            return None
        if _head_bytes(head) > self._limits.header_bytes:
            raise HttpError(status=431, reason="headers are too large")
        headers = {
            name.decode("ascii"): value.decode("latin-1")
            for name, value in head.headers
        }
        await self._check_length(headers)
        try:
            with trio.fail_after(self._limits.read_s):
                body = await self._read_body()
        except trio.TooSlowError:
            raise HttpError(
                status=408, reason="timeout while reading the request body"
            )
        return HttpRequest(
            method=head.method.decode("ascii"),
            target=head.target.decode("ascii"),
            headers=headers,
            body=body,
        )

    async def _read_head(self):
        """Return the next event, None if the connection stays idle.

        :raises HttpError: 408, the headers did not arrive in time.
        """
        self._enter(ConnectionState.IDLE)
        idle_s = DRAIN_IDLE_S if self._is_draining else self._limits.idle_s
        event = None
        with trio.move_on_after(idle_s) as self._idle_scope:
            if not self._h11.trailing_data[0]:
                self._h11.receive_data(await self._receive())
            self._enter(ConnectionState.READING)
            if not self._is_draining:
                self._idle_scope.deadline = (
                    self.since_s + self._limits.header_s
                )
            event = await self._next_event()
        is_late = self._idle_scope.cancelled_caught
        if is_late and self.state is ConnectionState.READING:
            raise HttpError(
                status=408, reason="timeout while reading the headers"
            )
        return event

    async def _check_length(self, headers):
        """Hold memory for a body whose length is announced.

        :raises HttpError: 413, it is too long, or 503, there is no memory.
        """
        length = int(headers.get("content-length", 0))
        self._check_size(length)
        await self._reserve(self._body, length, length)

    def _check_size(self, size_bytes):
        limit = self._limits.body_bytes
        if self._budget is not None:
            limit = min(limit, self._budget.largest_body_bytes)
        if size_bytes > limit:
            raise HttpError(status=413, reason="request body is too large")

    async def _read_body(self):
        # A list of chunks could take far more memory than their bytes.
        body = bytearray()
        started_s = trio.current_time()
        while True:
            event = await self._next_body_event(len(body), started_s)
            if isinstance(event, h11.Data):
                size = len(body) + len(event.data)
                self._check_size(size)
                if size > self._body.size_bytes:
                    # The length was not announced. Doubling the reservation
                    # keeps these steps few.
                    held = max(2 * size, SMALL_BODY_BYTES)
                    await self._reserve(self._body, held, size)
                body += event.data
            elif isinstance(event, h11.EndOfMessage):
                return bytes(body)
            else:
                raise trio.BrokenResourceError(
                    "connection closed within a request"
                )

    async def _next_body_event(self, size, started_s):
        """Return the next event of a body.

        :param size: Bytes of the body so far.
        :param started_s: When the body began, on trio's clock, in seconds.
        :raises HttpError: 408, the body arrives slowly while others wait for
            the memory that it holds.
        """
        while True:
            took_s = trio.current_time() - started_s
            is_slow = size < MIN_BODY_BYTES_PER_S * (took_s - SLOW_S)
            if is_slow and self._body.is_contended:
                raise HttpError(
                    status=408, reason="the request body is too slow"
                )
            with trio.move_on_after(SLOW_S):
                return await self._next_event()

    async def _next_event(self):
        while True:
            if self._h11.they_are_waiting_for_100_continue:
                await self._stream.send_all(
                    self._h11.send(
                        h11.InformationalResponse(status_code=100, headers=[])
                    )
                )
            event = await self._parse()
            if event is not h11.NEED_DATA:
                return event
            self._unparsed_bytes = 0
            self._h11.receive_data(await self._receive())

    async def _parse(self):
        """Return the next event of what has arrived, by the budget if long."""
        if self._budget is None or self._unparsed_bytes <= FREE_PARSE_BYTES:
            return self._h11.next_event()
        await self._budget.parsing.wait()
        return self._budget.parsing.parse(self._h11.next_event)

    async def _receive(self):
        data = await self._stream.receive_some(READ_BYTES)
        self._unparsed_bytes += len(data)
        return data

    async def _send(self, response, *, close):
        """Send a response; return whether the connection can be reused."""
        if self._h11.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            return False
        self._enter(ConnectionState.SENDING)
        headers = {"content-length": str(len(response.body))}
        headers.update(response.headers)
        if close:
            headers["connection"] = "close"
        data = self._h11.send(
            h11.Response(
                status_code=response.status, headers=list(headers.items())
            )
        )
        data += self._h11.send(h11.Data(data=response.body))
        data += self._h11.send(h11.EndOfMessage())
        with trio.fail_after(SEND_TIMEOUT_S):
            await self._stream.send_all(data)
        states = (self._h11.our_state, self._h11.their_state)
        return states == (h11.DONE, h11.DONE)


def _head_bytes(head):
    """Return the size of a request line and its headers, in bytes.

    Blanks around values, which are optional, don't count.
    """
    return (
        len(head.method)
        + len(head.target)
        + sum(
            len(name) + len(value) + HEADER_LINE_BYTES
            for name, value in head.headers
        )
    )


def _error_response(error):
    """Return the response for an :class:`HttpError`."""
    response = HttpResponse.of_json(
        {"error": error.reason}, status=error.status
    )
    if error.retry_after_s:
        response.headers["retry-after"] = str(error.retry_after_s)
    return response
