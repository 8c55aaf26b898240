"""The error of a transaction whose comparisons fail."""


class Conflict(Exception):
    """A key has another version than expected; nothing was changed."""
