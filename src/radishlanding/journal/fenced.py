"""Raised when another owner has taken a shard over."""


class Fenced(Exception):
    """Say at which segment the journal was found taken."""
