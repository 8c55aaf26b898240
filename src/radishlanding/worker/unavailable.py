"""The error of a worker that gives no answer."""


class WorkerUnavailable(Exception):
    """The worker gave no answer; the call may have taken effect."""

    def __init__(self, reason, *, was_refused=False):
        """Initialise the exception.

        :param reason: What went wrong.
        :param was_refused: Whether nobody listens at the worker's address, so
            that the worker has ended.
        """
        super().__init__(reason)
        self.was_refused = was_refused
