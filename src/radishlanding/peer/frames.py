"""Encoding and decoding of length-prefixed frames."""

import trio

from radishlanding.wire import MalformedMessage

LENGTH_BYTES = 4
MAX_FRAME_BYTES = 2 * 1024 * 1024
READ_BYTES = 64 * 1024


class FrameReader:
    """Read frames from a stream."""

    __slots__ = ("_buffer", "_stream")

    def __init__(self, stream):
        """Read from a :class:`trio.abc.ReceiveStream`."""
        self._stream = stream
        self._buffer = bytearray()

    async def _fill(self, size):
        while len(self._buffer) < size:
            data = await self._stream.receive_some(READ_BYTES)
            if not data:
                raise trio.BrokenResourceError("closed by the peer")
            self._buffer += data

    async def read(self):
        """Return the payload of the next frame.

        :raises radishlanding.wire.MalformedMessage: The frame is empty or
            longer than ``MAX_FRAME_BYTES``.
        :raises trio.BrokenResourceError: The stream has ended.
        """
        await self._fill(LENGTH_BYTES)
        size = int.from_bytes(self._buffer[:LENGTH_BYTES], "little")
        if not 0 < size <= MAX_FRAME_BYTES:
            raise MalformedMessage(f"invalid frame length: {size} bytes")
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
