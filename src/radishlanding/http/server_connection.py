"""Connection of a client to an HTTP server."""

import h11
import trio

from radishlanding.http.http_error import HttpError
from radishlanding.http.request import HttpRequest
from radishlanding.http.response import HttpResponse
from radishlanding.observe import EventLog

READ_BYTES = 64 * 1024
MAX_HEADER_BYTES = 16 * 1024
SEND_TIMEOUT_S = 10.0
DRAIN_IDLE_S = 0.5
# How long to read on after an error response before closing.
LINGER_S = 1.0

_log = EventLog("radishlanding.http")


class ServerConnection:
    """Serve the requests of one connection, one after the other."""

    __slots__ = (
        "_h11",
        "_handler",
        "_idle_scope",
        "_is_draining",
        "_limits",
        "_stream",
    )

    def __init__(self, *, stream, handler, limits):
        """Prepare a connection; :meth:`run` serves it.

        :param stream: An open :class:`trio.abc.HalfCloseableStream`.
        :param handler: An :class:`radishlanding.http.HttpHandler`.
        :param limits: A :class:`radishlanding.http.limits.Limits`.
        """
        self._h11 = h11.Connection(
            h11.SERVER, max_incomplete_event_size=MAX_HEADER_BYTES
        )
        self._stream = stream
        self._handler = handler
        self._limits = limits
        self._idle_scope = trio.CancelScope()
        self._is_draining = False

    def drain(self):
        """Finish the request in flight, and wait only briefly for another."""
        self._is_draining = True
        self._idle_scope.deadline = trio.current_time() + DRAIN_IDLE_S

    async def run(self):
        """Serve requests until the connection ends."""
        try:
            while await self._serve_one():
                self._h11.start_next_cycle()
        except (
            trio.BrokenResourceError,
            trio.ClosedResourceError,
            trio.TooSlowError,
            h11.LocalProtocolError,
        ) as exc:
            _log.debug("client_disconnected", reason=repr(exc))
        finally:
            with trio.CancelScope(shield=True):
                await trio.aclose_forcefully(self._stream)

    async def _serve_one(self):
        """Serve one request; return whether another may follow."""
        try:
            req = await self._read_request()
        except h11.RemoteProtocolError as exc:
            return await self._refuse(exc.error_status_hint, str(exc))
        except HttpError as exc:
            return await self._refuse(exc.status, exc.reason)
        if req is None:
            return False
        response = await self._respond(req)
        return await self._send(response, close=self._is_draining)

    async def _respond(self, req):
        try:
            return await self._handler.respond(req)
        except HttpError as exc:
            return _error_response(exc.status, exc.reason)
        except Exception:
            # A failing request must not affect those of other clients.
            _log.exception("request_failed")
            return _error_response(500, "internal error")

    async def _refuse(self, status, reason):
        """Send an error response to a request that was not read completely.

        The rest of the request is then read for up to ``LINGER_S``: closing
        with unread data would reset the connection, and the client might
        never see the response.
        """
        await self._send(_error_response(status, reason), close=True)
        with trio.move_on_after(LINGER_S):
            await self._stream.send_eof()
            while await self._stream.receive_some(READ_BYTES):
                continue
        return False

    async def _read_request(self):
        """Return the next request, None if the connection ends or is idle."""
        head = None
        with trio.move_on_after(self._limits.idle_s) as self._idle_scope:
            head = await self._next_event()
        if not isinstance(head, h11.Request):
            return None
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
            headers={
                name.decode("ascii"): value.decode("latin-1")
                for name, value in head.headers
            },
            body=body,
        )

    async def _read_body(self):
        chunks = []
        size = 0
        while True:
            event = await self._next_event()
            if isinstance(event, h11.Data):
                size += len(event.data)
                if size > self._limits.body_bytes:
                    raise HttpError(
                        status=413, reason="request body is too large"
                    )
                chunks.append(bytes(event.data))
            elif isinstance(event, h11.EndOfMessage):
                return b"".join(chunks)
            else:
                raise trio.BrokenResourceError(
                    "connection closed within a request"
                )

    async def _next_event(self):
        while True:
            if self._h11.they_are_waiting_for_100_continue:
                await self._stream.send_all(
                    self._h11.send(
                        h11.InformationalResponse(status_code=100, headers=[])
                    )
                )
            event = self._h11.next_event()
            if event is not h11.NEED_DATA:
                return event
            self._h11.receive_data(await self._stream.receive_some(READ_BYTES))

    async def _send(self, response, *, close):
        """Send a response; return whether the connection can be reused."""
        if self._h11.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            return False
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


def _error_response(status, reason):
    return HttpResponse.of_json({"error": reason}, status=status)
