"""The error of a store that gives no answer."""


class StoreUnavailable(Exception):
    """The store gave no answer; a write that was sent may take effect."""

    def __init__(self, reason, *, was_sent):
        """Initialise the error.

        :param reason: Cause of the failure.
        :param was_sent: False only if the store cannot have received the
            call.
        """
        super().__init__(reason)
        self.was_sent = was_sent
