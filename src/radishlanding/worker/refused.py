"""The error of a call that the worker refuses."""


class WorkerRefused(Exception):
    """The worker refused the call, which had no effect."""
