"""Failure of an HTTP exchange."""


class ExchangeFailed(Exception):
    """Raised when an HTTP exchange yields no complete response."""

    def __init__(self, reason, *, was_sent):
        """Initialise the exception.

        :param reason: What went wrong.
        :param was_sent: Whether the server may have received the request;
            False only if no byte of it was sent.
        """
        super().__init__(reason)
        self.reason = reason
        self.was_sent = was_sent
