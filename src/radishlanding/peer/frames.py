"""Reads and writes length-prefixed frames."""

import trio

from radishlanding.wire import MalformedMessage

LENGTH_BYTES = 4
MAX_FRAME_BYTES = 2 * 1024 * 1024
READ_BYTES = 64 * 1024


class FrameReader:
    """Read frames from a stream."""

    __slots__ = ("_buffer", "_stream")

    def __init__(self, stream):
        """Read from a stream of trio."""
        self._stream = stream
        self._buffer = bytearray()

    async def _fill(self, size):
        while len(self._buffer) < size:
            data = await self._stream.receive_some(READ_BYTES)
            if not data:
                raise trio.BrokenResourceError("closed by the peer")
            self._buffer += data

    async def read(self):
        """Return the bytes of the next frame.

        :raises MalformedMessage: The frame is empty or too long.
        :raises trio.BrokenResourceError: The stream has ended.
        """
        await self._fill(LENGTH_BYTES)
        size = int.from_bytes(self._buffer[:LENGTH_BYTES], "little")
        if not 0 < size <= MAX_FRAME_BYTES:
            raise MalformedMessage(f"frame of {size} bytes")
        await self._fill(LENGTH_BYTES + size)
        frame = bytes(self._buffer[LENGTH_BYTES : LENGTH_BYTES + size])
        del self._buffer[: LENGTH_BYTES + size]
        return frame


def frame(data):
    """Return a frame that holds the bytes.

    :raises ValueError: They are too many.
    """
    if len(data) > MAX_FRAME_BYTES:
        raise ValueError(f"frame of {len(data)} bytes")
    return len(data).to_bytes(LENGTH_BYTES, "little") + data
