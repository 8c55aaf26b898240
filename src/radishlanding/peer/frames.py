"""Encoding and decoding of length-prefixed frames."""

import trio

from radishlanding.http import MemoryExhausted
from radishlanding.http import Reservation
from radishlanding.wire import MalformedMessage

LENGTH_BYTES = 4
MAX_FRAME_BYTES = 2 * 1024 * 1024
READ_BYTES = 32 * 1024
# Longest first frame where strangers reach the port. It has room for a
# workflow of 262,144 bytes of JSON (one of 167,910 bytes with 1,000 steps
# takes 227,240). A crafted frame can be decoded into 17 times its length.
MAX_FIRST_FRAME_BYTES = 512 * 1024
# Longer frames need memory of the process's pool.
SMALL_FRAME_BYTES = 64 * 1024
MEMORY_WAIT_S = 1.0
# Time for a frame. Its sender gives up after 2 s, and its other messages wait
# behind it for longer than a ping allows.
FRAME_TIMEOUT_S = 5.0


class FrameReader:
    """Read frames from a stream.

    :param is_known: Whether a message has arrived; its sender's long frames
        are preferred where memory is short.
    """

    __slots__ = ("_buffer", "_pool", "_reservation", "_stream", "is_known")

    def __init__(self, stream, *, pool=None):
        """Read from a stream.

        :param stream: A :class:`trio.abc.ReceiveStream`.
        :param pool: A :class:`radishlanding.http.MemoryPool` for frames
            longer than ``SMALL_FRAME_BYTES``, or None where no stranger
            reaches the port.
        """
        self._pool = pool
        self._stream = stream
        self._buffer = bytearray()
        self._reservation = Reservation(pool=pool)
        self.is_known = False

    async def _fill(self, size):
        while len(self._buffer) < size:
            data = await self._stream.receive_some(READ_BYTES)
            if not data:
                raise trio.BrokenResourceError("closed by the peer")
            self._buffer += data

    async def read(self):
        """Return the payload of the next frame.

        :raises radishlanding.wire.MalformedMessage: The frame is empty or
            longer than ``MAX_FRAME_BYTES``, for the first one from a stranger
            ``MAX_FIRST_FRAME_BYTES``.
        :raises trio.BrokenResourceError: The stream has ended.
        """
        if self._buffer:
            # Many short frames at once would keep all else waiting.
            await trio.lowlevel.checkpoint()
        await self._fill(LENGTH_BYTES)
        try:
            with trio.fail_after(FRAME_TIMEOUT_S):
                return await self._read_payload()
        except trio.TooSlowError as exc:
            raise trio.BrokenResourceError("unfinished frame") from exc
        except MemoryExhausted as exc:
            raise trio.BrokenResourceError("no memory for a frame") from exc
        finally:
            self._reservation.release()

    def _max_bytes(self):
        if self._pool is None or self.is_known:
            return MAX_FRAME_BYTES
        return MAX_FIRST_FRAME_BYTES

    async def _read_payload(self):
        size = int.from_bytes(self._buffer[:LENGTH_BYTES], "little")
        if not 0 < size <= self._max_bytes():
            raise MalformedMessage(f"invalid frame length: {size} bytes")
        if size > SMALL_FRAME_BYTES:
            await self._fill(SMALL_FRAME_BYTES)
            await self._reservation.grow(
                size, is_preferred=self.is_known, timeout_s=MEMORY_WAIT_S
            )
        await self._fill(LENGTH_BYTES + size)
        payload = bytes(self._buffer[LENGTH_BYTES : LENGTH_BYTES + size])
        del self._buffer[: LENGTH_BYTES + size]
        return payload


def encode_frame(data):
    """Return a frame with a payload.

    :param data: Payload, as bytes.
    :raises ValueError: The payload is longer than ``MAX_FRAME_BYTES``.
    """
    if len(data) > MAX_FRAME_BYTES:
        raise ValueError(f"frame of {len(data)} bytes is too long")
    return len(data).to_bytes(LENGTH_BYTES, "little") + data
