"""Raised when another worker answers in the place of the one meant."""


class WorkerReplaced(Exception):
    """Say that the worker has ended, with all that it ran."""
