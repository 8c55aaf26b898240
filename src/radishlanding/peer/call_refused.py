"""Error for a call that the peer refused."""


class CallRefused(Exception):
    """The peer refused a call."""

    def __init__(self, reason):
        """Record the reason.

        :param reason: Reason given by the peer.
        """
        super().__init__(reason)
        self.reason = reason
