"""What a process does with the messages of a peer."""

import typing


class Handler(typing.Protocol):
    """Handle the messages of one connection."""

    async def handle(self, message, conn):
        """Handle a message.

        :param message: A message of :mod:`radishlanding.message`.
        :param conn: The connection that it came on.
        :returns: The reply to a call; ignored for a notice.
        """

    def disconnected(self, conn):
        """Note that the connection is gone."""
