"""Raised when the store gave no answer."""


class StoreUnavailable(Exception):
    """Say why; a write that was sent may have taken effect."""

    def __init__(self, reason, *, was_sent):
        """Keep both.

        :param reason: What went wrong.
        :param was_sent: False only when the store cannot have seen the call.
        """
        super().__init__(reason)
        self.was_sent = was_sent
