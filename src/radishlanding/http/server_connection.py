"""One caller's connection to an HTTP server."""

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
LINGER_S = 1.0

_log = EventLog("radishlanding.http")


class ServerConnection:
    """Serve one connection, one request after the other."""

    __slots__ = (
        "_h11",
        "_handler",
        "_idle_scope",
        "_is_draining",
        "_limits",
        "_stream",
    )

    def __init__(self, *, stream, handler, limits):
        """Prepare the connection; :meth:`run` carries it.

        :param stream: An open stream of trio.
        :param handler: A :class:`radishlanding.http.HttpHandler`.
        :param limits: An :class:`radishlanding.http.limits.Limits`.
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
        """Serve only what arrives within a short time."""
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
            _log.debug("caller_gone", reason=repr(exc))
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
            return _error(exc.status, exc.reason)
        except Exception:
            # One bad request must not end the requests of other callers.
            _log.exception("request_failed")
            return _error(500, "internal error")

    async def _refuse(self, status, reason):
        """Answer a request that was not read to its end.

        What still comes is read for a while: closing before would reset
        the connection, and the caller might never see the answer.
        """
        await self._send(_error(status, reason), close=True)
        with trio.move_on_after(LINGER_S):
            await self._stream.send_eof()
            while await self._stream.receive_some(READ_BYTES):
                continue
        return False

    async def _read_request(self):
        """Return the next request, None when there is none."""
        head = None
        with trio.move_on_after(self._limits.idle_s) as self._idle_scope:
            head = await self._next_event()
        if not isinstance(head, h11.Request):
            return None
        try:
            with trio.fail_after(self._limits.read_s):
                body = await self._read_body()
        except trio.TooSlowError:
            raise HttpError(status=408, reason="request came too slowly")
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
                    raise HttpError(status=413, reason="body too long")
                chunks.append(bytes(event.data))
            elif isinstance(event, h11.EndOfMessage):
                return b"".join(chunks)
            else:
                raise trio.BrokenResourceError("request ended early")

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
        """Send a response; return whether the connection can go on."""
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


def _error(status, reason):
    return HttpResponse.of_json({"error": reason}, status=status)
