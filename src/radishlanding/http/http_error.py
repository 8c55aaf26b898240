"""Error response to a request."""


class HttpError(Exception):
    """Raised by a handler to respond with an error."""

    def __init__(self, *, status, reason):
        """Initialise the exception.

        :param status: HTTP status code, 400 to 599.
        :param reason: Error message for the client.
        """
        super().__init__(reason)
        self.status = status
        self.reason = reason
