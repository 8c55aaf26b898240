"""Error for a call that its caller no longer wants to make."""


class CallWithdrawn(Exception):
    """The caller had no message once the call could be sent.

    Nothing was sent.
    """

    __slots__ = ()
