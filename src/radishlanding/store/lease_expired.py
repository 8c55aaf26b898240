"""Raised when a write names a lease that has ended."""


class LeaseExpired(Exception):
    """Say that nothing was changed."""
