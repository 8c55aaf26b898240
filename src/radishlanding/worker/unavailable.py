"""The error of a worker that gives no answer."""


class WorkerUnavailable(Exception):
    """The worker gave no answer; the call may have taken effect."""

    def __init__(self, reason, *, was_refused=False, was_sent=True):
        """Initialise the exception.

        :param reason: What went wrong.
        :param was_refused: Whether nobody listens at the worker's address, so
            that the worker has ended.
        :param was_sent: Whether the worker may have received the call.
        """
        super().__init__(reason)
        self.was_sent = was_sent
        self.was_refused = was_refused
