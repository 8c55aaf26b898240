"""A stream on a link that is full."""

import trio


class HeldStream:
    """Send nothing until the link has room again."""

    __slots__ = ("has_room", "sent")

    def __init__(self):
        """Start with a full link."""
        self.has_room = trio.Event()
        self.sent = b""

    async def send_all(self, data):
        """Send data once there is room."""
        await self.has_room.wait()
        self.sent += data

    async def receive_some(self, _size):
        """Receive nothing."""
        await trio.sleep_forever()

    async def aclose(self):
        """Close the stream."""
