"""Error for a peer that is unreachable or does not answer."""


class ConnectionLost(Exception):
    """The connection to a peer could not be opened or was lost."""

    def __init__(self, reason, *, was_sent=True, was_refused=False):
        """Record the reason.

        :param reason: What failed.
        :param was_sent: False only if the peer cannot have received the call.
        :param was_refused: Whether the peer's host refused the connection
            because nothing listens on the port.
        """
        super().__init__(reason)
        self.was_refused = was_refused
        self.was_sent = was_sent
