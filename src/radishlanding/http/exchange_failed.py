"""Raised when an HTTP exchange gave no whole response."""


class ExchangeFailed(Exception):
    """Say why, and whether the server may have seen the request."""

    def __init__(self, reason, *, was_sent):
        """Keep both.

        :param reason: What went wrong.
        :param was_sent: False only when no byte of the request was sent.
        """
        super().__init__(reason)
        self.reason = reason
        self.was_sent = was_sent
