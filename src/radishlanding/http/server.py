"""HTTP/1.1 server."""

import math
import socket

import trio

from radishlanding.http.admission import choose_closed
from radishlanding.http.limits import Limits
from radishlanding.http.process_budget import CLIENT_RECEIVE_BYTES
from radishlanding.http.process_budget import CLIENT_SEND_BYTES
from radishlanding.http.server_connection import ServerConnection
from radishlanding.observe import Counters
from radishlanding.observe import EventLog

# Clients that are told to come back; further ones are only closed.
MAX_REFUSING = 16
REFUSE_S = 0.2
REFUSAL = (
    b"HTTP/1.1 503 Service Unavailable\r\nretry-after: 1\r\n"
    b"content-length: 0\r\nconnection: close\r\n\r\n"
)
READ_BYTES = 16 * 1024
LOG_INTERVAL_S = 5.0

_log = EventLog("radishlanding.http")


class HttpServer:
    """Accept connections and serve each in a task of its own."""

    __slots__ = (
        "_accept_scope",
        "_budget",
        "_connections",
        "_counters",
        "_drained",
        "_handler",
        "_limits",
        "_logged_s",
        "_refusing",
        "_suspension_watch",
    )

    def __init__(
        self,
        *,
        handler,
        limits=None,
        budget=None,
        counters=None,
        suspension_watch=None,
    ):
        """Create a server; :meth:`run` opens its port.

        :param handler: An :class:`radishlanding.http.HttpHandler`.
        :param limits: A :class:`Limits`, or None for the defaults.
        :param budget: The :class:`radishlanding.http.ProcessBudget` of a
            server whose clients are not trusted; None bounds only the number
            of connections and the size of a request.
        :param counters: The process's :class:`radishlanding.observe.Counters`,
            or None.
        :param suspension_watch: A :class:`SuspensionWatch`, or None to serve
            requests of clients that left during a suspension, too.
        """
        self._budget = budget
        self._counters = Counters() if counters is None else counters
        self._handler = handler
        self._limits = limits or Limits()
        self._connections = set()
        self._accept_scope = trio.CancelScope()
        self._drained = trio.Event()
        self._logged_s = -math.inf
        self._refusing = 0
        self._suspension_watch = suspension_watch

    def set_limits(self, limits):
        """Replace the limits, for open connections too.

        :param limits: A :class:`Limits`.
        """
        if limits == self._limits:
            return
        self._limits = limits
        for conn in self._connections:
            conn.set_limits(limits)

    async def run(self, *, host, port, task_status=trio.TASK_STATUS_IGNORED):
        """Serve until drained.

        :param host: IP address to listen on.
        :param port: Port to listen on, 0 for any free one.
        :param task_status: Receives the port once it is open.
        """
        listeners = await self._open_listeners(host, port)
        task_status.started(listeners[0].socket.getsockname()[1])
        async with trio.open_nursery() as nursery:
            with self._accept_scope:
                await trio.serve_listeners(
                    self._serve, listeners, handler_nursery=nursery
                )
        self._drained.set()

    async def _open_listeners(self, host, port):
        """Open the port; what is not yet read or sent there is bounded."""
        if self._budget is None:
            return await trio.open_tcp_listeners(port, host=host)
        listeners = await trio.open_tcp_listeners(
            port, host=host, backlog=self._limits.connections
        )
        for listener in listeners:
            # Accepted connections inherit the sizes.
            listener.socket.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, CLIENT_RECEIVE_BYTES
            )
            listener.socket.setsockopt(
                socket.SOL_SOCKET, socket.SO_SNDBUF, CLIENT_SEND_BYTES
            )
        return listeners

    async def wait_drained(self):
        """Wait until all connections have ended after :meth:`drain`."""
        await self._drained.wait()

    async def _serve(self, stream):
        if not self._has_room():
            self._counters.add("http_connections_refused")
            await self._refuse(stream)
            return
        conn = ServerConnection(
            stream=stream,
            handler=self._handler,
            limits=self._limits,
            budget=self._budget,
            counters=self._counters,
            suspension_watch=self._suspension_watch,
        )
        self._connections.add(conn)
        try:
            await conn.run()
        finally:
            self._connections.discard(conn)

    def _has_room(self):
        """Return whether there is room for a connection, or make it."""
        if len(self._connections) < self._limits.connections:
            return True
        now_s = trio.current_time()
        conn = choose_closed(self._connections, now_s=now_s)
        if now_s - self._logged_s >= LOG_INTERVAL_S:
            self._logged_s = now_s
            _log.warning(
                "connections_full",
                connections=len(self._connections),
                closed=self._counters.get("http_connections_closed"),
                refused=self._counters.get("http_connections_refused"),
            )
        if conn is None:
            return False
        self._connections.discard(conn)
        self._counters.add("http_connections_closed")
        conn.close()
        return True

    async def _refuse(self, stream):
        """Refuse a connection; nothing of its request is carried out."""
        if self._refusing >= MAX_REFUSING:
            await trio.aclose_forcefully(stream)
            return
        self._refusing += 1
        try:
            with trio.move_on_after(REFUSE_S):
                await stream.send_all(REFUSAL)
                await stream.send_eof()
                # Closing with unread data would reset the connection before
                # the client has read the answer.
                while await stream.receive_some(READ_BYTES):
                    continue
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            pass
        finally:
            self._refusing -= 1
            with trio.CancelScope(shield=True):
                await trio.aclose_forcefully(stream)

    def drain(self):
        """Stop accepting connections, and end once all requests are served."""
        self._accept_scope.cancel()
        for conn in self._connections:
            conn.drain()
