"""Raised when the store has gone back to older content."""


class JournalWentBack(Exception):
    """Name the first segment that the store no longer has."""
