"""A connection to one peer that is dialled again when it is lost."""

import random

import trio

from radishlanding.peer.connection import Connection
from radishlanding.peer.connection_lost import ConnectionLost

DIAL_TIMEOUT_S = 1.0
MIN_REDIAL_S = 0.1
MAX_REDIAL_S = 2.0


async def dial(*, address):
    """Open a stream to a peer.

    :param address: ``ip:port``.
    :raises ConnectionLost: The peer cannot be reached.
    """
    host, _, port = address.rpartition(":")
    try:
        with trio.fail_after(DIAL_TIMEOUT_S):
            return await trio.open_tcp_stream(host, int(port))
    except (OSError, ValueError, trio.TooSlowError) as exc:
        raise ConnectionLost(
            f"{address}: {exc!r}",
            was_sent=False,
            was_refused=_is_refused(exc),
        ) from exc


def _is_refused(exc):
    """Return whether the host answered that nobody listens there.

    trio puts the failures of the addresses that it tried into a group.
    """
    if isinstance(exc, BaseExceptionGroup):
        return all(_is_refused(inner) for inner in exc.exceptions)
    if isinstance(exc, ConnectionRefusedError):
        return True
    return exc.__cause__ is not None and _is_refused(exc.__cause__)


class Link:
    """Keep a connection to one address."""

    __slots__ = ("_counters", "_handler", "_scope", "address", "conn")

    def __init__(self, *, address, handler, counters):
        """Prepare a link; :meth:`run` carries it.

        :param address: ``ip:port`` of the peer.
        :param handler: A handler with a coroutine ``connected(conn)``.
        :param counters: Counts of the process.
        """
        self._handler = handler
        self._counters = counters
        self._scope = trio.CancelScope()
        self.address = address
        self.conn = None

    async def run(self):
        """Dial, and dial again, until :meth:`close` is called."""
        with self._scope:
            pause_s = MIN_REDIAL_S
            while True:
                try:
                    stream = await dial(address=self.address)
                except ConnectionLost:
                    pause_s = min(MAX_REDIAL_S, pause_s * 2)
                else:
                    pause_s = MIN_REDIAL_S
                    await self._carry(stream)
                await trio.sleep(pause_s * random.uniform(0.5, 1.0))

    async def _carry(self, stream):
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
        """End the link and its connection."""
        self._scope.cancel()

    async def call(self, message, *, timeout_s):
        """Call the peer, as :meth:`Connection.call` does."""
        if self.conn is None:
            raise ConnectionLost(
                f"{self.address}: not connected", was_sent=False
            )
        return await self.conn.call(message, timeout_s=timeout_s)
