"""Error response to a request."""


class HttpError(Exception):
    """Raised by a handler to respond with an error."""

    def __init__(self, *, status, reason, retry_after_s=0):
        """Initialise the exception.

        :param status: HTTP status code, 400 to 599.
        :param reason: Error message for the client.
        :param retry_after_s: When the client may try again, in whole seconds;
            0 to name no time.
        """
        super().__init__(reason)
        self.status = status
        self.reason = reason
        self.retry_after_s = retry_after_s
