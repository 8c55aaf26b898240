"""HTTP/1.1 server."""

import trio

from radishlanding.http.limits import Limits
from radishlanding.http.server_connection import ServerConnection


class HttpServer:
    """Accept connections and serve each in a task of its own."""

    __slots__ = (
        "_accept_scope",
        "_connections",
        "_drained",
        "_handler",
        "_limits",
    )

    def __init__(self, *, handler, limits=None):
        """Create a server; :meth:`run` opens its port.

        :param handler: An :class:`radishlanding.http.HttpHandler`.
        :param limits: A :class:`Limits`, or None for the defaults.
        """
        self._handler = handler
        self._limits = limits or Limits()
        self._connections = set()
        self._accept_scope = trio.CancelScope()
        self._drained = trio.Event()

    async def run(self, *, host, port, task_status=trio.TASK_STATUS_IGNORED):
        """Serve until drained.

        :param host: IP address to listen on.
        :param port: Port to listen on, 0 for any free one.
        :param task_status: Receives the port once it is open.
        """
        listeners = await trio.open_tcp_listeners(port, host=host)
        task_status.started(listeners[0].socket.getsockname()[1])
        async with trio.open_nursery() as nursery:
            with self._accept_scope:
                await trio.serve_listeners(
                    self._serve, listeners, handler_nursery=nursery
                )
        self._drained.set()

    async def wait_drained(self):
        """Wait until all connections have ended after :meth:`drain`."""
        await self._drained.wait()

    async def _serve(self, stream):
        if len(self._connections) >= self._limits.connections:
            await trio.aclose_forcefully(stream)
            return
        conn = ServerConnection(
            stream=stream, handler=self._handler, limits=self._limits
        )
        self._connections.add(conn)
        try:
            await conn.run()
        finally:
            self._connections.discard(conn)

    def drain(self):
        """Stop accepting connections, and end once all requests are served."""
        self._accept_scope.cancel()
        for conn in self._connections:
            conn.drain()
