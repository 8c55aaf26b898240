"""Raised when bytes are no message."""


class MalformedMessage(ValueError):
    """Say why bytes could not be read as a message."""
