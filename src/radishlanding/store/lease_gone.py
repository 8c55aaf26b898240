"""Raised when a write names a lease that has ended."""


class LeaseGone(Exception):
    """Say that nothing was changed."""
