"""Raised when segments of a journal are missing."""


class JournalGap(Exception):
    """Name the first missing segment."""
