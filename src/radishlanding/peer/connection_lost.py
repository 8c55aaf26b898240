"""Raised when a peer cannot be reached or stopped answering."""


class ConnectionLost(Exception):
    """Say why the connection is gone, and whether the call was sent."""

    def __init__(self, reason, *, was_sent=True, was_refused=False):
        """Keep them.

        :param reason: What went wrong.
        :param was_sent: False only when the peer cannot have seen the call.
        :param was_refused: Whether the peer's host said that nobody listens.
        """
        super().__init__(reason)
        self.was_refused = was_refused
        self.was_sent = was_sent
