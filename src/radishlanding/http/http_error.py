"""Raised to answer a request with an error."""


class HttpError(Exception):
    """Hold the status and the reason of an error response."""

    def __init__(self, *, status, reason):
        """Keep both.

        :param status: HTTP status code, 400 to 599.
        :param reason: What the caller should know.
        """
        super().__init__(reason)
        self.status = status
        self.reason = reason
