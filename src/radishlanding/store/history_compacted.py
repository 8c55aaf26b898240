"""Raised when the store no longer has the changes that were asked for."""


class HistoryCompacted(Exception):
    """Say that the prefix has to be read again."""
