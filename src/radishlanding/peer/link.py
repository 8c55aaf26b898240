"""A client connection that reconnects when it is lost."""

import random

import trio

from radishlanding.connection_refused import is_refused
from radishlanding.peer.connection import Connection
from radishlanding.peer.connection import PING_INTERVAL_S
from radishlanding.peer.connection_lost import ConnectionLost

DIAL_TIMEOUT_S = 1.0
MIN_RECONNECT_BACKOFF_S = 0.1
MAX_RECONNECT_BACKOFF_S = 2.0
# Both ends of a silent connection notice it within one ping interval.
RECONNECT_TIMEOUT_S = (
    PING_INTERVAL_S + MIN_RECONNECT_BACKOFF_S + DIAL_TIMEOUT_S
)


async def dial(*, address):
    """Open a stream to a peer.

    :param address: ``ip:port`` of the peer.
    :returns: A :class:`trio.SocketStream`.
    :raises ConnectionLost: The peer is unreachable.
    """
    host, _, port = address.rpartition(":")
    try:
        with trio.fail_after(DIAL_TIMEOUT_S):
            return await trio.open_tcp_stream(host, int(port))
    except (OSError, OverflowError, ValueError, trio.TooSlowError) as exc:
        raise ConnectionLost(
            f"{address}: {exc!r}",
            was_sent=False,
            was_refused=is_refused(exc),
        ) from exc


class Link:
    """Keep a connection to one address, reconnecting with backoff."""

    __slots__ = (
        "_counters",
        "_handler",
        "_retry",
        "_scope",
        "address",
        "conn",
    )

    def __init__(self, *, address, handler, counters):
        """Prepare a link; :meth:`run` keeps it open.

        :param address: ``ip:port`` of the peer.
        :param handler: A :class:`Handler` that also has a coroutine
            ``connected(conn)``, which runs while the connection is open.
        :param counters: Counters of the process.
        """
        self._handler = handler
        self._counters = counters
        self._retry = trio.Event()
        self._scope = trio.CancelScope()
        self.address = address
        self.conn = None

    async def run(self):
        """Connect and reconnect until :meth:`close` is called."""
        with self._scope:
            backoff_s = MIN_RECONNECT_BACKOFF_S
            while True:
                try:
                    stream = await dial(address=self.address)
                except ConnectionLost:
                    backoff_s = min(MAX_RECONNECT_BACKOFF_S, backoff_s * 2)
                else:
                    backoff_s = MIN_RECONNECT_BACKOFF_S
                    await self._run_connection(stream)
                with trio.move_on_after(backoff_s * random.uniform(0.5, 1.0)):
                    await self._retry.wait()
                    self._retry = trio.Event()
                    backoff_s = MIN_RECONNECT_BACKOFF_S

    def retry(self):
        """Dial now if the next try is being waited for.

        For a peer that is known to have started; the backoff, which may have
        grown to ``MAX_RECONNECT_BACKOFF_S`` before, starts over.
        """
        if self.conn is None:
            self._retry.set()

    async def _run_connection(self, stream):
        conn = Connection(
            stream=stream,
            handler=self._handler,
            counters=self._counters,
            peer=self.address,
        )
        try:
            async with trio.open_nursery() as nursery:
                self.conn = conn
                nursery.start_soon(self._handler.connected, conn)
                await conn.run()
                nursery.cancel_scope.cancel()
        finally:
            self.conn = None

    def close(self):
        """Close the link and its connection."""
        self._scope.cancel()

    async def call(self, message, *, timeout_s):
        """Call the peer; see :meth:`Connection.call`."""
        if self.conn is None:
            raise ConnectionLost(
                f"{self.address}: not connected", was_sent=False
            )
        return await self.conn.call(message, timeout_s=timeout_s)
