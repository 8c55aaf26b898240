"""Raised when the worker refuses a call."""


class WorkerRefused(Exception):
    """Hold the worker's reason; the call took no effect."""
