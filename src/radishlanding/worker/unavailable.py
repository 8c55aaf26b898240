"""The error of a worker that gives no answer."""


class WorkerUnavailable(Exception):
    """The worker gave no answer; the call may have taken effect."""
