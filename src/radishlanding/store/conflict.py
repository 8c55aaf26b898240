"""Raised when a transaction's expectations do not hold."""


class Conflict(Exception):
    """Say that nothing was changed."""
