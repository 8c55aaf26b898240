"""Server for peer connections."""

import socket

import trio

from radishlanding.http.process_budget import PEER_RECEIVE_BYTES
from radishlanding.observe import EventLog
from radishlanding.peer.connection import Connection

# A connection on which no message has arrived for this long may be closed for
# another one. Agents and dispatchers send a message at once.
STRANGER_S = 1.0
# Connections that wait to be accepted hold memory of the kernel, too. All
# agents of a site connect at once when a leader is replaced.
MIN_BACKLOG = 128

_log = EventLog("radishlanding.peer")


class PeerServer:
    """Accept peer connections and run a task for each."""

    __slots__ = (
        "_budget",
        "_connections",
        "_counters",
        "_handler",
        "_max_connections",
    )

    def __init__(self, *, handler, counters, max_connections, budget=None):
        """Prepare the server.

        :param handler: A :class:`radishlanding.peer.Handler`.
        :param counters: Counters of the process.
        :param max_connections: Connections beyond this number are closed.
        :param budget: The process's :class:`radishlanding.http.ProcessBudget`
            where strangers reach the port, or None.
        """
        self._budget = budget
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
        backlog = None
        if self._budget is not None:
            backlog = max(MIN_BACKLOG, self._budget.stranger_connections)
        listeners = await trio.open_tcp_listeners(
            port, host=host, backlog=backlog
        )
        if self._budget is not None:
            for listener in listeners:
                # Accepted connections inherit the size.
                listener.socket.setsockopt(
                    socket.SOL_SOCKET, socket.SO_RCVBUF, PEER_RECEIVE_BYTES
                )
        task_status.started(listeners[0].socket.getsockname()[1])
        await trio.serve_listeners(self._serve, listeners)

    async def _serve(self, stream):
        try:
            peer = stream.socket.getpeername()
        except OSError:
            # The peer has reset the connection already.
            await trio.aclose_forcefully(stream)
            return
        if not self._has_room():
            self._counters.add("peer_connections_refused")
            await trio.aclose_forcefully(stream)
            return
        conn = Connection(
            stream=stream,
            handler=self._handler,
            counters=self._counters,
            peer=f"{peer[0]}:{peer[1]}",
            frames=self._budget and self._budget.frames,
        )
        self._connections.add(conn)
        try:
            await conn.run()
        finally:
            self._connections.discard(conn)

    def _has_room(self):
        """Return whether there is room for a connection, or make it.

        The oldest connection without a message makes room; the others are
        of agents and dispatchers.
        """
        strangers = [conn for conn in self._connections if conn.is_stranger]
        is_full = len(self._connections) >= self._max_connections
        if self._budget is not None:
            bound = self._budget.stranger_connections
            is_full = is_full or len(strangers) >= bound
        if not is_full:
            return True
        oldest = min(strangers, key=lambda conn: conn.opened_s, default=None)
        if (
            oldest is None
            or trio.current_time() - oldest.opened_s < STRANGER_S
        ):
            return False
        self._connections.discard(oldest)
        self._counters.add("peer_strangers_closed")
        oldest.abort()
        return True

    async def broadcast(self, message):
        """Send a notification to all peers."""
        for conn in list(self._connections):
            await conn.notify(message)
