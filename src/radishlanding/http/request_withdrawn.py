"""The error of a request that its caller no longer wants to send."""


class RequestWithdrawn(Exception):
    """The caller had no body once the request could be sent.

    No byte of the request was sent.
    """

    __slots__ = ()
