"""Raised when a stored value cannot be read."""


class CorruptRecord(Exception):
    """Say which record is corrupt."""
