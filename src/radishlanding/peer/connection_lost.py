"""Raised when a peer cannot be reached or stopped answering."""


class ConnectionLost(Exception):
    """Say why the connection is gone, and whether the call was sent."""

    def __init__(self, reason, *, was_sent=True):
        """Keep both.

        :param reason: What went wrong.
        :param was_sent: False only when the peer cannot have seen the call.
        """
        super().__init__(reason)
        self.was_sent = was_sent
