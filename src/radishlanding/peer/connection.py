"""A connection between two processes."""

import trio

from radishlanding.message import Ping
from radishlanding.message import Pong
from radishlanding.message import Refused
from radishlanding.observe import EventLog
from radishlanding.peer.call_refused import CallRefused
from radishlanding.peer.call_withdrawn import CallWithdrawn
from radishlanding.peer.connection_lost import ConnectionLost
from radishlanding.peer.frames import encode_frame
from radishlanding.peer.frames import FrameReader
from radishlanding.peer.future import Future
from radishlanding.wire import decode
from radishlanding.wire import encode
from radishlanding.wire import Envelope
from radishlanding.wire import MalformedMessage

PING_INTERVAL_S = 0.8
PING_TIMEOUT_S = 2.0
SEND_TIMEOUT_S = 2.0
MAX_CALLS_IN_FLIGHT = 2000
# Memory of a message and of what is made of it, in bytes for each byte of its
# frame.
COST_PER_BYTE = 4
# Messages up to this size are preferred where memory is short. Reports of
# busy agents take some kilobytes; a refused one does not extend the lease.
SMALL_MESSAGE_BYTES = 64 * 1024

_log = EventLog("radishlanding.peer")


class Connection:
    """Exchange calls and notifications with one peer.

    A reply is matched to its call by id; late and unknown replies are
    counted and dropped. A peer that does not answer pings within
    ``PING_INTERVAL_S + PING_TIMEOUT_S`` seconds is considered lost.
    """

    __slots__ = (
        "_closed",
        "_counters",
        "_frames",
        "_futures",
        "_handler",
        "_in_flight",
        "_is_closed",
        "_next_id",
        "_scope",
        "_send_lock",
        "_stream",
        "is_stranger",
        "opened_s",
        "peer",
    )

    def __init__(self, *, stream, handler, counters, peer, frames=None):
        """Prepare a connection; :meth:`run` serves it.

        :param stream: An open :class:`trio.abc.Stream`.
        :param handler: A :class:`radishlanding.peer.Handler`.
        :param counters: Counters of the process.
        :param peer: Address of the peer, for the log.
        :param frames: The :class:`radishlanding.http.MemoryPool` of received
            messages, or None for no bound.
        """
        self._frames = frames
        self._stream = stream
        self._handler = handler
        self._counters = counters
        self._futures = {}
        self._in_flight = 0
        self._is_closed = False
        self._closed = trio.Event()
        self._next_id = 1
        self._scope = trio.CancelScope()
        self._send_lock = trio.Lock()
        # No message has arrived yet.
        self.is_stranger = True
        self.opened_s = 0.0
        self.peer = peer

    async def run(self, *, task_status=trio.TASK_STATUS_IGNORED):
        """Serve the connection until it ends, then notify the handler."""
        reason = "closed here"
        self.opened_s = trio.current_time()
        try:
            with self._scope:
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(self._ping)
                    task_status.started(self)
                    reason = await self._read(nursery)
                    nursery.cancel_scope.cancel()
        finally:
            self._is_closed = True
            self._closed.set()
            for fut in self._futures.values():
                fut.set(None)
            self._futures.clear()
            self._handler.disconnected(self)
            with trio.CancelScope(shield=True):
                await trio.aclose_forcefully(self._stream)
            _log.debug("peer_gone", peer=self.peer, reason=reason)

    async def wait_closed(self):
        """Wait until the connection ends."""
        await self._closed.wait()

    def abort(self):
        """Close the connection immediately; nothing more is sent on it."""
        self._is_closed = True
        self._scope.cancel()

    async def _read(self, nursery):
        """Read messages until the connection ends.

        :returns: Why it ended.
        """
        reader = FrameReader(self._stream, pool=self._frames)
        try:
            while True:
                payload = await reader.read()
                self._counters.add("peer_received_bytes", len(payload))
                envelope = decode(payload)
                reader.is_known = True
                self.is_stranger = False
                await self._dispatch(envelope, len(payload), nursery)
        except MalformedMessage as exc:
            self._counters.add("peer_malformed")
            _log.warning("peer_malformed", peer=self.peer, reason=exc)
            return "malformed"
        except (trio.BrokenResourceError, trio.ClosedResourceError) as exc:
            return str(exc) or "closed"

    async def _dispatch(self, envelope, size_bytes, nursery):
        if envelope.is_reply:
            fut = self._futures.pop(envelope.call_id, None)
            if fut is None:
                self._counters.add("peer_late_reply")
            else:
                fut.set(envelope.message)
        elif isinstance(envelope.message, Ping):
            await self._write(envelope.call_id, Pong(), is_reply=True)
        elif not self._take_call(size_bytes):
            self._counters.add("peer_overloaded")
            await self._write(
                envelope.call_id, Refused(reason="overloaded"), is_reply=True
            )
        else:
            nursery.start_soon(self._handle, envelope, size_bytes)

    def _take_call(self, size_bytes):
        """Return whether a call can be handled, and count it if so.

        :param size_bytes: Length of its frame, in bytes.
        """
        if self._in_flight >= MAX_CALLS_IN_FLIGHT:
            return False
        if self._frames is not None and not self._frames.try_reserve(
            self._cost_bytes(size_bytes),
            is_preferred=size_bytes <= SMALL_MESSAGE_BYTES,
        ):
            return False
        self._in_flight += 1
        return True

    def _end_call(self, size_bytes):
        self._in_flight -= 1
        if self._frames is not None:
            self._frames.release(self._cost_bytes(size_bytes))

    def _cost_bytes(self, size_bytes):
        """Return the memory to hold for a call, in bytes."""
        return min(COST_PER_BYTE * size_bytes, self._frames.largest_bytes)

    async def _handle(self, envelope, size_bytes):
        try:
            reply = await self._handler.handle(envelope.message, self)
        except CallRefused as exc:
            reply = Refused(reason=exc.reason)
        except Exception:
            # A failing call must not affect other calls and peers.
            self._counters.add("peer_handler_failed")
            _log.exception("peer_handler_failed", peer=self.peer)
            reply = Refused(reason="internal error")
        finally:
            self._end_call(size_bytes)
        if envelope.call_id:
            await self._write(envelope.call_id, reply, is_reply=True)

    async def _ping(self):
        while True:
            await trio.sleep(PING_INTERVAL_S)
            try:
                await self.call(Ping(), timeout_s=PING_TIMEOUT_S)
            except ConnectionLost:
                self._counters.add("peer_silent")
                _log.info("peer_silent", peer=self.peer)
                self.abort()

    async def _write(self, call_id, message, *, is_reply):
        await self._write_prepared(call_id, lambda: message, is_reply=is_reply)

    async def _write_prepared(self, call_id, prepare, *, is_reply):
        """Send a message that is made when the connection is free.

        :param prepare: See :meth:`call_prepared`.
        """
        try:
            with trio.fail_after(SEND_TIMEOUT_S):
                async with self._send_lock:
                    message = prepare()
                    if message is None:
                        raise CallWithdrawn
                    envelope = Envelope(
                        call_id=call_id, is_reply=is_reply, message=message
                    )
                    data = encode_frame(encode(envelope))
                    self._counters.add("peer_sent_bytes", len(data))
                    await self._send(data)
        except (
            trio.BrokenResourceError,
            trio.ClosedResourceError,
            trio.TooSlowError,
        ):
            self.abort()

    async def _send(self, data):
        """Send a whole frame, or close the connection.

        The peer would take what follows a part of a frame for its rest.
        """
        if self._is_closed:
            raise trio.ClosedResourceError
        is_whole = False
        try:
            await self._stream.send_all(data)
            is_whole = True
        finally:
            if not is_whole:
                self.abort()

    async def notify(self, message):
        """Send a message without a reply; a loss is not reported."""
        await self._write(0, message, is_reply=False)

    async def call(self, message, *, timeout_s):
        """Send a message and wait for its reply.

        :param message: A message of :mod:`radishlanding.message`.
        :param timeout_s: Timeout for the reply, in seconds.
        :returns: The reply.
        :raises ConnectionLost: No reply arrived; the call may have taken
            effect if ``was_sent`` is set.
        :raises CallRefused: The peer refused the call.
        """
        return await self.call_prepared(lambda: message, timeout_s=timeout_s)

    async def call_prepared(self, prepare, *, timeout_s):
        """Make a call whose message may change while it waits to be sent.

        :param prepare: Callable that is called when nothing else is being
            sent on the connection. It returns the message, or None to
            withdraw the call.
        :param timeout_s: Timeout for the reply, in seconds.
        :returns: The reply.
        :raises CallRefused: See :meth:`call`.
        :raises CallWithdrawn: ``prepare`` returned None.
        :raises ConnectionLost: See :meth:`call`.
        """
        if self._is_closed:
            raise ConnectionLost(
                f"{self.peer}: connection is closed", was_sent=False
            )
        call_id = self._next_id
        self._next_id += 1
        fut = Future()
        self._futures[call_id] = fut
        reply = None
        try:
            with trio.move_on_after(timeout_s):
                await self._write_prepared(call_id, prepare, is_reply=False)
                reply = await fut.wait()
        finally:
            self._futures.pop(call_id, None)
        if reply is None:
            raise ConnectionLost(f"{self.peer}: no reply")
        if isinstance(reply, Refused):
            raise CallRefused(reply.reason)
        return reply
