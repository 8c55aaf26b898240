"""Raised when the worker gave no answer."""


class WorkerUnavailable(Exception):
    """Say why; the call may have taken effect."""
