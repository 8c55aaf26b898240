"""The error of a write under a lease that has expired."""


class LeaseExpired(Exception):
    """The lease has expired or was revoked; nothing was changed."""
