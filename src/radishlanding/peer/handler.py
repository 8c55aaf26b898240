"""Protocol for handlers of peer messages."""

import typing


class Handler(typing.Protocol):
    """Handle the messages of peer connections."""

    async def handle(self, message, conn):
        """Handle a message.

        :param message: A message of :mod:`radishlanding.message`.
        :param conn: The :class:`Connection` that it arrived on.
        :returns: The reply to a call; ignored for a notification.
        :raises CallRefused: The call is refused with this reason.
        """

    def disconnected(self, conn):
        """Clean up after a connection has ended.

        :param conn: The :class:`Connection`.
        """
