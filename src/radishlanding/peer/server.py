"""Server for peer connections."""

import trio

from radishlanding.observe import EventLog
from radishlanding.peer.connection import Connection

_log = EventLog("radishlanding.peer")


class PeerServer:
    """Accept peer connections and run a task for each."""

    __slots__ = ("_connections", "_counters", "_handler", "_max_connections")

    def __init__(self, *, handler, counters, max_connections):
        """Prepare the server.

        :param handler: A :class:`radishlanding.peer.Handler`.
        :param counters: Counters of the process.
        :param max_connections: Connections beyond this number are closed.
        """
        self._handler = handler
        self._counters = counters
        self._max_connections = max_connections
        self._connections = set()

    @property
    def connections(self):
        """Return the open connections."""
        return list(self._connections)

    async def run(self, *, host, port, task_status=trio.TASK_STATUS_IGNORED):
        """Accept connections until cancelled.

        :param host: Address to listen on.
        :param port: Port to listen on, 0 for any free port.
        :param task_status: Started with the port that was bound.
        """
        listeners = await trio.open_tcp_listeners(port, host=host)
        task_status.started(listeners[0].socket.getsockname()[1])
        await trio.serve_listeners(self._serve, listeners)

    async def _serve(self, stream):
        peer = stream.socket.getpeername()
        if len(self._connections) >= self._max_connections:
            self._counters.add("peer_connections_refused")
            await trio.aclose_forcefully(stream)
            return
        conn = Connection(
            stream=stream,
            handler=self._handler,
            counters=self._counters,
            peer=f"{peer[0]}:{peer[1]}",
        )
        self._connections.add(conn)
        try:
            await conn.run()
        finally:
            self._connections.discard(conn)

    async def broadcast(self, message):
        """Send a notification to all peers."""
        for conn in list(self._connections):
            await conn.notify(message)
